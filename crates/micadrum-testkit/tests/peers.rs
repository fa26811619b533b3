//! Tests of senders that form a membership, with faults between them, simulated and as real processes.
mod common;

use common::daemon;
use micadrum_membership::{Event, LocalStatus, Status};
use micadrum_testkit::history::{AdminSnapshot, History, HistoryEvent};
use micadrum_testkit::live;
use micadrum_testkit::plan::Plan;
use micadrum_testkit::report::Report;
use micadrum_testkit::scenario::Scenario;

const SECOND: u64 = 1_000_000;

/// Returns a scenario of senders that form a membership, with the given faults.
fn scenario(senders: u32, length: u32, crossing: &str, faults: &str) -> Scenario {
    let text = format!(
        "title = \"peers\"\nlength = \"{length} s\"\nsenders = {senders}\npartners = 3\ntraffic = \"4/s\"\n\
         crossing = \"{crossing}\"\ntail = \"4 s\"\n[operator.peers]\nprobe_every = \"100 ms\"\ndead_after = \"1 s\"\n{faults}"
    );
    Scenario::parse("peers.toml", &text).unwrap_or_else(|e| panic!("{e}\n{text}"))
}

/// Returns the text of a fault that starts at `at` seconds.
fn fault(kind: &str, at: u32, rest: &str) -> String {
    format!("[[fault]]\nkind = \"{kind}\"\nat = \"{at} s\"\n{rest}\n")
}

/// Returns when the last sender was started: the start of the run on the test kit's clock.
fn started_at(history: &History) -> u64 {
    history
        .records()
        .iter()
        .filter(|r| r.event == HistoryEvent::Started)
        .map(|r| r.at)
        .nth(sender_count(history) - 1)
        .unwrap()
}

fn sender_count(history: &History) -> usize {
    history.records().iter().map(|r| r.sender as usize + 1).max().unwrap()
}

/// Asserts that all views are correct at `until`, and returns how long after `from` they became so.
fn assert_convergence(report: &Report, from: u64, until: u64, what: &str) -> u64 {
    match report.history.convergence_time(from, until) {
        Ok(delay) => {
            println!("{what}: views correct after {} ms", delay / 1000);
            delay
        }
        Err(wrong) => panic!("{what}: {wrong:?}\n{}", report.history.text()),
    }
}

/// Returns a scenario with each kind of failure, one after the other, for simulated and live runs.
fn all_failures() -> Scenario {
    let faults = [
        fault("restart", 4, "how = \"kill\"\nsenders = [1]\ndown = \"4 s\""),
        fault("cut", 12, "for = \"5 s\"\nbuilding = \"building-a\""),
        fault("cut", 21, "for = \"4 s\"\nsenders = [2]\nways = \"out\""),
        fault("pause", 29, "for = \"4 s\"\nsenders = [3]"),
        fault("restart", 37, "how = \"kill\"\nsenders = [4]\ndown = \"600 ms\""),
        fault("restart", 41, "how = \"kill\"\nsenders = [5]\ndown = \"600 ms\"\nfolder = \"lost\""),
        fault("restart", 45, "how = \"term\"\nsenders = [0]\ndown = \"2 s\""),
        fault("lose", 50, "for = \"4 s\"\ncalls = \"20%\""),
        fault("break", 55, "for = \"1500 ms\"\nevery = \"100 ms\""),
        fault("cut", 59, "for = \"5 s\"\nsenders = [6]\nbetween = [0, 1, 2]"),
    ];
    let snapshots = [(3, 0), (14, 0), (30, 0), (55, 0), (57, 0), (60, 6)];
    let snapshot = |(at, sender): &(u32, u32)| format!("[[look]]\nat = \"{at} s\"\nsender = {sender}\n");
    scenario(7, 66, "2 ms", &(snapshots.iter().map(snapshot).collect::<String>() + &faults.concat()))
}

/// Checks the history of [`all_failures`].
fn check_all_failures(report: &Report) {
    let history = &report.history;
    let start = started_at(history);
    let at = |seconds: u64| start + seconds * SECOND;
    // The run begins once the last sender is ready, which the kit observes within a second.
    let slack = SECOND;
    assert_convergence(report, start, at(4), "simultaneous start of all senders");
    assert!(assert_convergence(report, at(4), at(8), "one sender is killed") < 2 * SECOND + slack);
    assert_convergence(report, at(8), at(12), "it restarts with a new incarnation");
    // During the partition each half has the other as dead and itself as live.
    let cut = at(12) + 4 * SECOND;
    let wrong = history.convergence_time(cut, cut).unwrap_err();
    assert!(wrong.iter().all(|view| view.observer % 2 != view.subject % 2), "{wrong:?}");
    assert!(wrong.len() == 24, "each half has the other as dead: {wrong:?}");
    assert!(assert_convergence(report, at(17), at(21), "the partition ends") < 2 * SECOND + slack);
    // Sender 2 still receives although nothing that it sends arrives: it must not declare anyone dead.
    let deaths_declared = |observer: u32, from: u64, until: u64| {
        let deaths = history.events(observer, from).filter(|(when, event)| {
            *when < until && matches!(event, Event::StatusChanged { current: Status::Dead, .. })
        });
        deaths.count()
    };
    assert_eq!(deaths_declared(2, at(21), at(25) + slack), 0, "{}", history.text());
    assert!(assert_convergence(report, at(25), at(29), "its messages arrive again") < 2 * SECOND + slack);
    assert_eq!(
        deaths_declared(3, at(29), at(37)),
        0,
        "a suspended sender declares no one dead: {}",
        history.text()
    );
    assert!(assert_convergence(report, at(33), at(37), "a suspended sender resumes") < 2 * SECOND + slack);
    assert_convergence(report, at(37) + slack, at(41), "a restart before it is detected");
    let deaths_of_4 = history.records().iter().filter(|r| {
        r.at >= at(37) && r.at < at(41)
            && matches!(&r.event, HistoryEvent::Peers(Event::StatusChanged { name, current: Status::Dead, .. }) if name == "n4")
    });
    assert_eq!(deaths_of_4.count(), 0, "{}", history.text());
    let state_loss = history
        .events(5, at(41))
        .any(|(_, event)| matches!(event, Event::StateLossDetected { incarnation: 2, known: 1 }));
    assert!(state_loss, "the loss of the state folder is detected: {}", history.text());
    assert_convergence(report, at(42) + slack, at(45), "a restart with a lost state folder");
    let left = history.events(1, at(45)).any(|(_, event)| {
        matches!(event, Event::StatusChanged { name, current: Status::Left, .. } if name == "n0")
    });
    assert!(left, "a sender that terminates announces that it leaves: {}", history.text());
    assert_convergence(report, at(54), at(59), "the loss of datagrams ends");
    assert!(assert_convergence(report, at(59), at(64), "a sender cut off from half of the others") < SECOND);
    assert_eq!(history.false_deaths(3 * SECOND), [], "{}", history.text());
    assert!(
        history
            .events(6, at(3))
            .all(|(_, e)| !matches!(e, Event::LocalStatusChanged(LocalStatus::Superseded)))
    );
    assert!(report.verdict.all_hold, "{}", report.text());
}

/// Checks which members answered the requests for the views of all members in a live run of [`all_failures`].
fn check_admin_snapshots(report: &Report) {
    let history = &report.history;
    let snapshots: Vec<AdminSnapshot> = history.admin_snapshots(0).collect();
    let all = [0, 1, 2, 3, 4, 5, 6];
    let [undisturbed, cut, paused, broken, restored, half] = &snapshots[..] else {
        panic!("{snapshots:?}\n{}", history.text())
    };
    assert_eq!((undisturbed.answered, undisturbed.silent), (&all[..], &[][..]), "all members answer");
    assert_eq!(
        (cut.answered, cut.silent),
        (&[0, 2, 4, 6][..], &[1, 3, 5][..]),
        "requests over a silent link time out"
    );
    assert_eq!(
        (paused.answered, paused.silent),
        (&[0, 1, 2, 4, 5, 6][..], &[3][..]),
        "requests to a suspended sender time out"
    );
    assert!(!broken.silent.is_empty(), "a link that breaks within a frame returns no view: {broken:?}");
    assert_eq!((restored.answered, restored.silent), (&all[..], &[][..]), "the next request succeeds");
    assert_eq!((half.answered, half.silent), (&[3, 4, 5, 6][..], &[0, 1, 2][..]));
    for snapshot in [cut, paused] {
        let requested = started_at(history) + if snapshot.at == cut.at { 14 } else { 30 } * SECOND;
        assert!(snapshot.at - requested < 5 * SECOND, "the request takes longer than its timeouts");
    }
}

/// Guards against wrong views, wrong incarnations and violations after the failures of a fleet, in simulated
/// time.
#[test]
fn views_converge_after_each_failure_simulated() {
    for seed in 1..=3 {
        check_all_failures(&common::simulate(Plan::new(all_failures(), seed)));
    }
}

/// Guards against the same with real processes, whose traffic passes through relays of the test kit.
#[test]
fn views_converge_after_each_failure_with_real_processes() {
    let report = live::run(Plan::new(all_failures(), 1), Some(daemon())).unwrap();
    check_all_failures(&report);
    check_admin_snapshots(&report);
}

/// Returns a scenario with links of 110 ms that lose a fifth of the datagrams, a sender that restarts with an
/// outdated state folder, and one that is killed during the loss.
fn slow_and_lossy() -> Scenario {
    let faults = [
        fault("restart", 4, "how = \"kill\"\nsenders = [1]\ndown = \"600 ms\""),
        fault("restart", 8, "how = \"kill\"\nsenders = [1]\ndown = \"600 ms\"\nfolder = \"older\""),
        fault("lose", 11, "for = \"18 s\"\ncalls = \"20%\""),
        fault("restart", 16, "how = \"kill\"\nsenders = [2]\ndown = \"9 s\""),
    ];
    scenario(8, 32, "110 ms", &faults.concat())
}

/// Checks the history of [`slow_and_lossy`].
fn check_slow_and_lossy(report: &Report) {
    let history = &report.history;
    let at = |seconds: u64| started_at(history) + seconds * SECOND;
    let state_loss = history
        .events(1, at(8))
        .any(|(_, e)| matches!(e, Event::StateLossDetected { incarnation: 3, known: 2 }));
    assert!(state_loss, "an outdated state folder is detected: {}", history.text());
    assert_convergence(report, at(9) + SECOND, at(11), "a restart with an outdated state folder");
    // With lossy links a live sender may be suspected at any time, but all senders must declare the dead one
    // dead.
    let detects_death = |observer: u32| {
        history.events(observer, at(16)).any(|(when, event)| {
            when < at(25)
                && matches!(event, Event::StatusChanged { name, current: Status::Dead, .. } if name == "n2")
        })
    };
    let missed: Vec<u32> = (0..8).filter(|observer| *observer != 2 && !detects_death(*observer)).collect();
    assert!(missed.is_empty(), "senders that did not detect the death: {missed:?}\n{}", history.text());
    assert_convergence(report, at(29), at(32), "the loss of datagrams ends");
    let deaths = history.records().iter().filter(|r| {
        r.at > at(11)
            && matches!(&r.event, HistoryEvent::Peers(Event::StatusChanged { name, current: Status::Dead, .. }) if name != "n2")
    });
    assert_eq!(deaths.count(), 0, "loss causes no false deaths: {}", history.text());
    assert!(report.verdict.all_hold, "{}", report.text());
}

/// Guards against slow and lossy links that prevent the detection of a dead sender, or have a live one
/// declared dead, in simulated time.
#[test]
fn detects_only_real_deaths_over_slow_and_lossy_links_simulated() {
    for seed in 1..=5 {
        check_slow_and_lossy(&common::simulate(Plan::new(slow_and_lossy(), seed)));
    }
}

/// Guards against the same with real processes.
#[test]
fn detects_only_real_deaths_over_slow_and_lossy_links_with_real_processes() {
    check_slow_and_lossy(&live::run(Plan::new(slow_and_lossy(), 1), Some(daemon())).unwrap());
}
