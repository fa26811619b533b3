use super::*;
use crate::daemon::system::Folder;

/// Guards against an endpoint that is back in service because the process was another, and against a yes that was
/// not written down.
#[test]
fn what_is_out_outlasts_the_process() {
    let folder = tempfile::tempdir().unwrap();
    let open = || Maintenance::open(Rc::new(Folder(folder.path().to_owned())));
    let (mut out, wrong) = open();
    assert_eq!(wrong.map(|wrong| wrong.to_string()), None);
    assert!(out.enter("s-1").unwrap() && !out.enter("s-1").unwrap() && out.enter("s-2").unwrap());
    let (mut out, _) = open();
    assert!(out.contains("s-1") && out.contains("s-2") && out.exit("s-1").unwrap());
    let (mut out, _) = open();
    assert!(!out.contains("s-1") && out.contains("s-2") && !out.exit("s-1").unwrap());
    std::fs::remove_dir_all(folder.path()).unwrap();
    assert!(out.enter("s-3").is_err() && out.exit("s-2").is_err());
    assert!(!out.contains("s-3") && out.contains("s-2"), "neither was written down");
    std::fs::create_dir(folder.path()).unwrap();
    std::fs::write(folder.path().join(FILE), "[\"s-").unwrap();
    assert!(
        open().1.is_some_and(|wrong| wrong.to_string().contains(FILE)),
        "told, and no reason not to start"
    );
}
