//! Each test runs its own program again as a child process with the library preloaded, and checks the
//! injected faults.
use micadrum_fault_control::{
    CONTROL_VARIABLE, ControlFile, Fault, FaultKind, PATH_PREFIX_VARIABLE, library_path,
};
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The environment variable that marks the child process; its value is the folder that folder faults apply
/// to.
const CHILD_FOLDER_VARIABLE: &str = "FAULT_INJECTION_CHILD_FOLDER";
/// `ENOSPC`, the error of a full disk.
const NO_SPACE: i32 = 28;
const HOUR: Duration = Duration::from_secs(3600);

/// Runs the test `name` in a child process with the library preloaded, and returns the control file with the
/// counts.
///
/// # Panics
/// Panics if the test fails in the child process.
fn run_preloaded(name: &str, faults: &[Fault]) -> ControlFile {
    let folder = tempfile::tempdir().unwrap();
    let control = ControlFile::create(&folder.path().join("control"), 1).unwrap();
    faults.iter().for_each(|fault| control.begin(*fault).unwrap());
    let status = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", name, "--nocapture", "--test-threads=1"])
        .env("LD_PRELOAD", library_path().unwrap())
        .env(CONTROL_VARIABLE, control.path())
        .env(PATH_PREFIX_VARIABLE, folder.path())
        .env(CHILD_FOLDER_VARIABLE, folder.path())
        .status();
    assert!(status.unwrap().success(), "{name}");
    control
}

/// Returns the folder of the child process, or `None` in the parent.
fn child_folder() -> Option<std::path::PathBuf> {
    std::env::var_os(CHILD_FOLDER_VARIABLE).map(Into::into)
}

#[test]
fn shifts_the_wall_clock() {
    let now = || SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    if child_folder().is_some() {
        let parent_now: u64 = std::env::var("FAULT_INJECTION_NOW").unwrap().parse().unwrap();
        let expected = parent_now + HOUR.as_secs();
        assert!(now().as_secs().abs_diff(expected) < 600);
        return;
    }
    let step = Fault::always(FaultKind::WallClock).with_parameter(HOUR.as_micros() as i64);
    let folder = tempfile::tempdir().unwrap();
    let control = ControlFile::create(&folder.path().join("control"), 1).unwrap();
    control.begin(step).unwrap();
    let status = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "shifts_the_wall_clock"])
        .env("LD_PRELOAD", library_path().unwrap())
        .env(CONTROL_VARIABLE, control.path())
        .env("FAULT_INJECTION_NOW", now().as_secs().to_string())
        .env(CHILD_FOLDER_VARIABLE, folder.path())
        .status();
    assert!(status.unwrap().success());
    assert!(control.count(FaultKind::WallClock).unwrap().injected > 0);
}

#[test]
fn fails_the_configured_number_of_folder_writes() {
    if let Some(folder) = child_folder() {
        assert!(std::fs::write(folder.join("first"), "text").is_ok());
        let error = std::fs::write(folder.join("second"), "text").unwrap_err();
        assert_eq!(error.raw_os_error(), Some(NO_SPACE));
        assert!(std::fs::write(folder.join("third"), "text").is_ok());
        assert!(std::fs::write(std::env::temp_dir().join("elsewhere.micadrum"), "text").is_ok());
        return;
    }
    // Each file takes two calls: it is created, then written. The fault skips the first file.
    let fault = Fault::always(FaultKind::FolderWrite).with_parameter(i64::from(NO_SPACE)).after(2).at_most(1);
    let control = run_preloaded("fails_the_configured_number_of_folder_writes", &[fault]);
    assert_eq!(control.count(FaultKind::FolderWrite).unwrap().injected, 1);
}

#[test]
fn shortens_socket_transfers() {
    if child_folder().is_some() {
        use std::io::{Read, Write};
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (mut server, _) = listener.accept().unwrap();
        assert!(client.write(&[7; 100]).unwrap() < 100);
        server.read_exact(&mut [0]).unwrap();
        return;
    }
    let control = run_preloaded("shortens_socket_transfers", &[Fault::always(FaultKind::ShortTransfer)]);
    assert!(control.count(FaultKind::ShortTransfer).unwrap().injected > 0);
}
