//! The library in a process of its own: the test program runs itself again with the library preloaded.
use micadrum_fault_control::{
    CONTROL_VARIABLE, ControlFile, Fault, FaultKind, PATH_PREFIX_VARIABLE, library_path,
};
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Says what the program is to do where it runs with the library.
const ROLE: &str = "FAULT_INJECTION_ROLE";
/// The error number of a full disk.
const NO_SPACE: i32 = 28;
const HOUR: Duration = Duration::from_secs(3600);

/// Runs the test `name` of this program with the library preloaded; returns whether it passed.
fn run_preloaded(name: &str, faults: &[Fault]) -> ControlFile {
    let folder = tempfile::tempdir().unwrap();
    let control = ControlFile::create(&folder.path().join("control"), 1).unwrap();
    faults.iter().for_each(|fault| control.begin(*fault).unwrap());
    let status = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", name, "--nocapture", "--test-threads=1"])
        .env("LD_PRELOAD", library_path().unwrap())
        .env(CONTROL_VARIABLE, control.path())
        .env(PATH_PREFIX_VARIABLE, folder.path())
        .env(ROLE, folder.path())
        .status();
    assert!(status.unwrap().success(), "{name}");
    control
}

fn role() -> Option<std::path::PathBuf> {
    std::env::var_os(ROLE).map(Into::into)
}

#[test]
fn wall_clock_is_shifted() {
    let now = || SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    if role().is_some() {
        let written: u64 = std::env::var("FAULT_INJECTION_NOW").unwrap().parse().unwrap();
        let expected = written + HOUR.as_secs();
        assert!(now().as_secs().abs_diff(expected) < 600);
        return;
    }
    let step = Fault::always(FaultKind::WallClock).with_parameter(HOUR.as_micros() as i64);
    let folder = tempfile::tempdir().unwrap();
    let control = ControlFile::create(&folder.path().join("control"), 1).unwrap();
    control.begin(step).unwrap();
    let status = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "wall_clock_is_shifted"])
        .env("LD_PRELOAD", library_path().unwrap())
        .env(CONTROL_VARIABLE, control.path())
        .env("FAULT_INJECTION_NOW", now().as_secs().to_string())
        .env(ROLE, folder.path())
        .status();
    assert!(status.unwrap().success());
    assert!(control.count(FaultKind::WallClock).unwrap().injected > 0);
}

#[test]
fn writes_to_the_folder_fail_as_often_as_they_are_told_to() {
    if let Some(folder) = role() {
        assert!(std::fs::write(folder.join("first"), "text").is_ok());
        let error = std::fs::write(folder.join("second"), "text").unwrap_err();
        assert_eq!(error.raw_os_error(), Some(NO_SPACE));
        assert!(std::fs::write(folder.join("third"), "text").is_ok());
        assert!(std::fs::write(std::env::temp_dir().join("elsewhere.micadrum"), "text").is_ok());
        return;
    }
    // A file is created and then written: two calls each.
    let fault = Fault::always(FaultKind::FolderWrite).with_parameter(i64::from(NO_SPACE)).after(2).at_most(1);
    let control = run_preloaded("writes_to_the_folder_fail_as_often_as_they_are_told_to", &[fault]);
    assert_eq!(control.count(FaultKind::FolderWrite).unwrap().injected, 1);
}

#[test]
fn socket_transfers_are_short() {
    if role().is_some() {
        use std::io::{Read, Write};
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (mut server, _) = listener.accept().unwrap();
        assert!(client.write(&[7; 100]).unwrap() < 100);
        server.read_exact(&mut [0]).unwrap();
        return;
    }
    let control = run_preloaded("socket_transfers_are_short", &[Fault::always(FaultKind::ShortTransfer)]);
    assert!(control.count(FaultKind::ShortTransfer).unwrap().injected > 0);
}
