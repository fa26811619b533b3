use super::*;
use crate::daemon::system::Folder;

/// Guards against an endpoint that is back in service because the process was another, and against a yes that was
/// not written down.
#[test]
fn what_is_out_outlasts_the_process() {
    let folder = tempfile::tempdir().unwrap();
    let open = || Maintenance::open(Rc::new(Folder(folder.path().to_owned())));
    let (mut out, wrong) = open();
    assert_eq!(wrong, None);
    assert!(out.take_out("s-1").unwrap() && !out.take_out("s-1").unwrap() && out.take_out("s-2").unwrap());
    let (mut out, _) = open();
    assert!(out.holds("s-1") && out.holds("s-2") && out.put_back("s-1").unwrap());
    let (mut out, _) = open();
    assert!(!out.holds("s-1") && out.holds("s-2") && !out.put_back("s-1").unwrap());
    std::fs::remove_dir_all(folder.path()).unwrap();
    assert!(out.take_out("s-3").is_err() && out.put_back("s-2").is_err());
    assert!(!out.holds("s-3") && out.holds("s-2"), "neither was written down");
    std::fs::create_dir(folder.path()).unwrap();
    std::fs::write(folder.path().join(NAME), "[\"s-").unwrap();
    assert!(open().1.is_some_and(|wrong| wrong.contains(NAME)), "told, and no reason not to start");
}
