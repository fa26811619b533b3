use super::*;
use crate::daemon::system::Folder;

struct Lines(RefCell<Vec<String>>);

impl Log for Lines {
    fn line(&self, text: &str) {
        self.0.borrow_mut().push(text.to_owned());
    }
}

/// Guards against a line with a length that was not synced, or with an outdated file name.
#[tokio::test]
async fn synced_length_is_logged_under_the_current_name() {
    let folder = tempfile::tempdir().unwrap();
    let log = Rc::new(Lines(RefCell::default()));
    let traced = TracedStorage::new(Rc::new(Folder(folder.path().to_owned())), log.clone());
    let mut file = traced.create("a.new").unwrap();
    file.append(b"1234").unwrap();
    // Opening a file again does not reset its tracked length.
    traced.open("a.new").unwrap();
    let sync = file.sync();
    file.append(b"56").unwrap();
    sync.await.unwrap();
    traced.rename("a.new", "a").unwrap();
    file.sync_now().unwrap();
    traced.open("a").unwrap().sync_now().unwrap();
    let lines = ["begun a.new", "synced a.new 4", "renamed a.new a", "synced a 6", "synced a 6"];
    assert_eq!(*log.0.borrow(), lines.map(|line| format!("trace storage {line}")));
}
