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

/// Guards against an invalid file that takes effect, and an error without its position.
#[test]
fn invalid_files_are_rejected_with_the_position_of_the_error() {
    let cases: Vec<(String, usize, &str)> = vec![
        ("[peer]\n".into(), 1, "did you mean `peers`?"),
        ("[durability]\noutlasts = \"machin\"\n".into(), 2, "did you mean `machine`?"),
        ("[durability]\noutlasts = \"machine\"\ndelay = \"200 ms\"\n".into(), 3, "between 0 ms and 100 ms"),
        ("[durability]\noutlasts = \"process\"\ndelay = \"2 ms\"\n".into(), 3, "`delay` means nothing"),
        (file("probe_evry = \"1 s\"\n"), 3, "did you mean `probe_every`?"),
        (file("probe_every = \"200\"\n"), 3, "needs a unit"),
        (file("probe_every = \"1 ms\"\n"), 3, "`probe_every` must lie between 50 ms and 10 s"),
        (file("dead_after = \"250 ms\"\n"), 3, "three times `probe_every`"),
        (file("datagrams = \"5/s\"\n"), 3, "`datagrams` must be at least 20/s"),
        (file("kilobytes = \"1/s\"\n"), 3, "`kilobytes` must be at least 4/s"),
        (file("") + &member("n2", 3, &key(3)), 14, "the member \"n2\" stands twice"),
        (file("") + &member("n3", 2, &key(3)), 15, "\"n2\" has this address already"),
        (file("") + &member("n3", 3, &key(2)), 17, "\"n2\" has this key already"),
        (file("") + &member("n3", 3, "abc"), 17, "64 hexadecimal digits"),
        (file("") + &member("n3", 3, &key(3).replace('3', "g")), 17, "64 hexadecimal digits"),
        (file("") + &member("n 3", 3, &key(3)), 14, "no space"),
        (file("") + &member("n3", 0, &key(3)), 15, "not at port 0"),
        (file("").replace("n1", "n11"), 2, "this sender, \"n1\", is no member; the nearest is \"n11\""),
        (file("").replace("secret = \"s\"\n", ""), 1, "missing field `secret`"),
    ];
    for (text, line, message) in cases {
        let error = OperatorConfig::parse("o.toml", &text, "n1").expect_err(&text);
        assert!(error.message.contains(message), "{error}\n{text}");
        assert_eq!((error.position.line, &*error.file), (line, "o.toml"), "{error}\n{text}");
    }
}

/// Guards against a result that depends on the order of the members, and missing defaults.
#[test]
fn a_valid_file_is_read_whatever_the_order_of_its_members() {
    let one = OperatorConfig::parse("o", &file(""), "n1").unwrap().peers.unwrap();
    let reversed =
        format!("[peers]\nsecret = \"s\"\n{}{}", member("n2", 2, &key(2)), member("n1", 1, &key(1)));
    assert_eq!(Some(&one), OperatorConfig::parse("o", &reversed, "n1").unwrap().peers.as_ref());
    assert_eq!(
        (one.probe_interval, one.suspicion_timeout),
        (units::Span::millis(100), units::Span::seconds(1))
    );
    assert_eq!(one.members["n2"].key, [2; 32]);
    assert_eq!(OperatorConfig::parse("o", "", "n1").unwrap(), OperatorConfig::default());
    let too_many: String =
        (0..1001).map(|n| member(&format!("m{n}"), 10 + n, &format!("{n:064x}"))).collect();
    let error = OperatorConfig::parse("o", &(file("") + &too_many), "n1").unwrap_err();
    assert!(error.message.contains("no more than 1000 members"), "{error}");
}

/// Guards against a reload that takes effect in part: a process cannot change its own identity.
#[test]
fn a_reload_may_change_members_but_not_the_own_identity() {
    let read = |text: &str, own: &str| OperatorConfig::parse("o", text, own).unwrap();
    let now = read(&file(""), "n1");
    assert_eq!(now.check_reload(&read(&(file("") + &member("n3", 3, &key(3))), "n1")), Ok(()));
    assert_eq!(now.check_reload(&OperatorConfig::default()), Err(ChangeError::Section("peers")));
    assert_eq!(now.check_reload(&read(&file(""), "n2")), Err(ChangeError::OwnIdentity("name")));
    let moved = read(&file("").replace("127.0.0.1:1\"", "127.0.0.1:7\""), "n1");
    assert_eq!(now.check_reload(&moved), Err(ChangeError::OwnIdentity("address")));
    let other = read(&file("").replace(&key(1), &key(9)), "n1");
    assert_eq!(now.check_reload(&other), Err(ChangeError::OwnIdentity("key")));
}
