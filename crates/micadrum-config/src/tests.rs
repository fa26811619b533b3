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

/// Guards against a file that is acted on though it is wrong, and against an error that does not tell where to look.
#[test]
fn wrong_files_are_refused_with_their_place() {
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
    for (text, line, what) in cases {
        let error = OperatorConfig::parse("o.toml", &text, "n1").expect_err(&text);
        assert!(error.what.contains(what), "{error}\n{text}");
        assert_eq!((error.place.0, &*error.file), (line, "o.toml"), "{error}\n{text}");
    }
}

/// Guards against an order of the members that means something, and defaults that a good file does not get.
#[test]
fn a_good_file_is_read_whatever_the_order_of_its_members() {
    let one = OperatorConfig::parse("o", &file(""), "n1").unwrap().peers.unwrap();
    let turned = format!("[peers]\nsecret = \"s\"\n{}{}", member("n2", 2, &key(2)), member("n1", 1, &key(1)));
    assert_eq!(Some(&one), OperatorConfig::parse("o", &turned, "n1").unwrap().peers.as_ref());
    assert_eq!((one.probe_every, one.dead_after), (units::Span::millis(100), units::Span::seconds(1)));
    assert_eq!(one.members["n2"].key, [2; 32]);
    assert_eq!(OperatorConfig::parse("o", "", "n1").unwrap(), OperatorConfig::default());
    let most: String = (0..1001).map(|n| member(&format!("m{n}"), 10 + n, &format!("{n:064x}"))).collect();
    let error = OperatorConfig::parse("o", &(file("") + &most), "n1").unwrap_err();
    assert!(error.what.contains("no more than 1000 members"), "{error}");
}

/// Guards against a reload that half takes: what others know a process by cannot change under it.
#[test]
fn members_may_change_and_what_a_process_is_known_by_may_not() {
    let read = |text: &str, own: &str| OperatorConfig::parse("o", text, own).unwrap();
    let now = read(&file(""), "n1");
    assert_eq!(now.may_become(&read(&(file("") + &member("n3", 3, &key(3))), "n1")), Ok(()));
    assert_eq!(now.may_become(&OperatorConfig::default()), Err(ChangeError::Switched("peers")));
    assert_eq!(now.may_become(&read(&file(""), "n2")), Err(ChangeError::Own("name")));
    let moved = read(&file("").replace("127.0.0.1:1\"", "127.0.0.1:7\""), "n1");
    assert_eq!(now.may_become(&moved), Err(ChangeError::Own("address")));
    let other = read(&file("").replace(&key(1), &key(9)), "n1");
    assert_eq!(now.may_become(&other), Err(ChangeError::Own("key")));
}
