use super::*;
use crate::daemon::system::Folder;

/// Guards against endpoints that return to service when the process restarts, and against confirming a change
/// that was not stored.
#[test]
fn maintenance_state_survives_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let open = || Maintenance::open(Rc::new(Folder(folder.path().to_owned())));
    let (mut maintenance, unreadable) = open();
    assert_eq!(unreadable.map(|error| error.to_string()), None);
    assert!(
        maintenance.enter("s-1").unwrap()
            && !maintenance.enter("s-1").unwrap()
            && maintenance.enter("s-2").unwrap()
    );
    let (mut maintenance, _) = open();
    assert!(maintenance.contains("s-1") && maintenance.contains("s-2") && maintenance.exit("s-1").unwrap());
    let (mut maintenance, _) = open();
    assert!(!maintenance.contains("s-1") && maintenance.contains("s-2") && !maintenance.exit("s-1").unwrap());
    std::fs::remove_dir_all(folder.path()).unwrap();
    assert!(maintenance.enter("s-3").is_err() && maintenance.exit("s-2").is_err());
    assert!(!maintenance.contains("s-3") && maintenance.contains("s-2"), "neither change was stored");
    std::fs::create_dir(folder.path()).unwrap();
    std::fs::write(folder.path().join(FILE), "[\"s-").unwrap();
    assert!(open().1.is_some_and(|error| error.to_string().contains(FILE)), "the damaged file is reported");
}
