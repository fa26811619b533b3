use super::*;

fn key(n: u8) -> String {
    format!("{n:02x}").repeat(32)
}

fn member(name: &str, port: u16, key: &str) -> String {
    format!(
        "[[peers.member]]\nname = \"{name}\"\naddress = \"127.0.0.1:{port}\"\nbuilding = \"a\"\nkey = \"{key}\"\n"
    )
}

fn file(head: &str) -> String {
    format!("[peers]\nsecret = \"s\"\n{head}{}{}", member("n1", 1, &key(1)), member("n2", 2, &key(2)))
}

/// Guards against accepting an invalid file, and against an error at the wrong position.
#[test]
fn rejects_an_invalid_file_with_the_position_of_the_error() {
    let cases: Vec<(String, usize, &str)> = vec![
        ("[peer]\n".into(), 1, "did you mean `peers`?"),
        ("[durability]\noutlasts = \"machin\"\n".into(), 2, "did you mean `machine`?"),
        (
            "[durability]\noutlasts = \"machine\"\ndelay = \"200 ms\"\n".into(),
            3,
            "`delay` must be between 0 ms and 100 ms, but is 200 ms",
        ),
        (
            "[durability]\noutlasts = \"process\"\ndelay = \"2 ms\"\n".into(),
            3,
            "`delay` requires `outlasts = \"machine\"`",
        ),
        (file("probe_evry = \"1 s\"\n"), 3, "did you mean `probe_every`?"),
        (file("probe_every = \"200\"\n"), 3, "needs a unit"),
        (file("probe_every = \"1 ms\"\n"), 3, "`probe_every` must be between 50 ms and 10 s, but is 1 ms"),
        (file("dead_after = \"250 ms\"\n"), 3, "three times `probe_every` (100 ms), but is 250 ms"),
        (file("datagrams = \"5/s\"\n"), 3, "`datagrams` must be at least 20/s, but is 5/s"),
        (file("kilobytes = \"1/s\"\n"), 3, "`kilobytes` must be at least 4/s, but is 1/s"),
        (file("") + &member("n2", 3, &key(3)), 14, "the member \"n2\" is listed twice"),
        (
            file("") + &member("n3", 2, &key(3)),
            15,
            "the address 127.0.0.1:2 is already used by member \"n2\"",
        ),
        (file("") + &member("n3", 3, &key(2)), 17, "this key is already used by member \"n2\""),
        (file("") + &member("n3", 3, "abc"), 17, "64 hexadecimal digits"),
        (file("") + &member("n3", 3, &key(3).replace('3', "g")), 17, "64 hexadecimal digits"),
        (
            file("") + &member("n 3", 3, &key(3)),
            14,
            "the name \"n 3\" must have 1 to 64 visible ASCII characters and no space",
        ),
        (file("") + &member("n3", 0, &key(3)), 15, "must have a fixed port, not port 0"),
        (
            file("").replace("n1", "n11"),
            2,
            "this sender, \"n1\", is not listed as a member; did you mean \"n11\"?",
        ),
        (file("").replace("secret = \"s\"\n", ""), 1, "missing field `secret`"),
    ];
    for (text, line, message) in cases {
        let error = OperatorConfig::parse("o.toml", &text, "n1").expect_err(&text);
        assert!(error.message.contains(message), "{error}\n{text}");
        assert_eq!((error.position.line, &*error.file), (line, "o.toml"), "{error}\n{text}");
    }
}

/// Guards against a result that depends on the order of the members, and against missing defaults.
#[test]
fn parses_a_valid_file_regardless_of_the_order_of_its_members() {
    let peers = OperatorConfig::parse("o", &file(""), "n1").unwrap().peers.unwrap();
    let reversed =
        format!("[peers]\nsecret = \"s\"\n{}{}", member("n2", 2, &key(2)), member("n1", 1, &key(1)));
    assert_eq!(Some(&peers), OperatorConfig::parse("o", &reversed, "n1").unwrap().peers.as_ref());
    assert_eq!(
        (peers.probe_interval, peers.suspicion_timeout),
        (units::Span::millis(100), units::Span::seconds(1))
    );
    assert_eq!(peers.members["n2"].key, [2; 32]);
    assert_eq!(OperatorConfig::parse("o", "", "n1").unwrap(), OperatorConfig::default());
    let too_many: String =
        (0..1001).map(|n| member(&format!("m{n}"), 10 + n, &format!("{n:064x}"))).collect();
    let error = OperatorConfig::parse("o", &(file("") + &too_many), "n1").unwrap_err();
    assert!(error.message.contains("1003 members listed, but at most 1000 are allowed"), "{error}");
}

/// Guards against a reload that takes effect partly: a running process cannot change its own identity.
#[test]
fn accepts_a_reload_unless_it_changes_the_own_identity() {
    let parse = |text: &str, own: &str| OperatorConfig::parse("o", text, own).unwrap();
    let current = parse(&file(""), "n1");
    assert_eq!(current.check_reload(&parse(&(file("") + &member("n3", 3, &key(3))), "n1")), Ok(()));
    assert_eq!(current.check_reload(&OperatorConfig::default()), Err(ChangeError::Section("peers")));
    assert_eq!(current.check_reload(&parse(&file(""), "n2")), Err(ChangeError::OwnIdentity("name")));
    let with_other_address = parse(&file("").replace("127.0.0.1:1\"", "127.0.0.1:7\""), "n1");
    assert_eq!(current.check_reload(&with_other_address), Err(ChangeError::OwnIdentity("address")));
    let with_other_key = parse(&file("").replace(&key(1), &key(9)), "n1");
    assert_eq!(current.check_reload(&with_other_key), Err(ChangeError::OwnIdentity("key")));
}
