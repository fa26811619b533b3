use super::*;
use crate::daemon::system::Folder;

struct Lines(RefCell<Vec<String>>);

impl Log for Lines {
    fn line(&self, text: &str) {
        self.0.borrow_mut().push(text.to_owned());
    }
}

/// Guards against a length that was not synced, or that is told of another file.
#[tokio::test]
async fn what_is_synced_is_told_under_its_name() {
    let folder = tempfile::tempdir().unwrap();
    let log = Rc::new(Lines(RefCell::default()));
    let traced = TracedStorage::new(Rc::new(Folder(folder.path().to_owned())), log.clone());
    let mut file = traced.create("a.new").unwrap();
    file.append(b"1234").unwrap();
    // As whoever puts a file in place of another does: what is open stays the same file.
    traced.open("a.new").unwrap();
    let sync = file.sync();
    file.append(b"56").unwrap();
    sync.await.unwrap();
    traced.rename("a.new", "a").unwrap();
    file.sync_now().unwrap();
    traced.open("a").unwrap().sync_now().unwrap();
    let told = ["begun a.new", "synced a.new 4", "renamed a.new a", "synced a 6", "synced a 6"];
    assert_eq!(*log.0.borrow(), told.map(|line| format!("trace storage {line}")));
}
