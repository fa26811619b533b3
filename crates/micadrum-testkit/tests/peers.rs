//! Senders that know each other, several of them, with faults between them: simulated, and as real processes.
mod common;

use common::daemon;
use micadrum_membership::{Event, LocalStatus};
use micadrum_testkit::history::{AdminSnapshot, History, HistoryEvent};
use micadrum_testkit::live;
use micadrum_testkit::plan::Plan;
use micadrum_testkit::report::Report;
use micadrum_testkit::scenario::Scenario;

const SECOND: u64 = 1_000_000;

/// A day of senders that know each other; `faults` are what goes wrong.
fn day(senders: u32, length: u32, crossing: &str, faults: &str) -> Scenario {
    let text = format!(
        "title = \"peers\"\nlength = \"{length} s\"\nsenders = {senders}\npartners = 3\ntraffic = \"4/s\"\n\
         crossing = \"{crossing}\"\ntail = \"4 s\"\n[operator.peers]\nprobe_every = \"100 ms\"\ndead_after = \"1 s\"\n{faults}"
    );
    Scenario::parse("peers.toml", &text).unwrap_or_else(|e| panic!("{e}\n{text}"))
}

fn fault(kind: &str, at: u32, rest: &str) -> String {
    format!("[[fault]]\nkind = \"{kind}\"\nat = \"{at} s\"\n{rest}\n")
}

/// When all senders were up: the day begins then, on the kit's clock.
fn begun(history: &History) -> u64 {
    history
        .records()
        .iter()
        .filter(|r| r.event == HistoryEvent::Started)
        .map(|r| r.at)
        .nth(senders(history) - 1)
        .unwrap()
}

fn senders(history: &History) -> usize {
    history.records().iter().map(|r| r.sender as usize + 1).max().unwrap()
}

fn right(report: &Report, from: u64, until: u64, what: &str) -> u64 {
    match report.history.right_after(from, until) {
        Ok(took) => {
            println!("{what}: views right after {} ms", took / 1000);
            took
        }
        Err(wrong) => panic!("{what}: {wrong:?}\n{}", report.history.text()),
    }
}

/// The day of all failures, one after the other; the same for real processes and simulated ones.
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
    let looks = [(3, 0), (14, 0), (30, 0), (55, 0), (57, 0), (60, 6)];
    let look = |(at, sender): &(u32, u32)| format!("[[look]]\nat = \"{at} s\"\nsender = {sender}\n");
    day(7, 66, "2 ms", &(looks.iter().map(look).collect::<String>() + &faults.concat()))
}

/// What the history of that day has to show.
fn judge_all_failures(report: &Report) {
    let history = &report.history;
    let zero = begun(history);
    let at = |seconds: u64| zero + seconds * SECOND;
    // The day begins once the last sender is ready, which the kit sees within a second.
    let slack = SECOND;
    right(report, zero, at(4), "all started at once");
    assert!(right(report, at(4), at(8), "one killed") < 2 * SECOND + slack);
    right(report, at(8), at(12), "back under a new life");
    // In its midst each half holds the other for dead and itself for live.
    let cut = at(12) + 4 * SECOND;
    let wrong = history.right_after(cut, cut).unwrap_err();
    assert!(wrong.iter().all(|view| view.observer % 2 != view.subject % 2), "{wrong:?}");
    assert!(wrong.len() == 24, "each half holds the other for dead: {wrong:?}");
    assert!(right(report, at(17), at(21), "the buildings hear each other again") < 2 * SECOND + slack);
    // Heard by nobody, sender 2 hears all the same: it accuses nobody.
    let accused = |by: u32, from: u64, until: u64| {
        let deaths = history.events(by, from).filter(|(when, event)| {
            *when < until
                && matches!(event, Event::StatusChanged { current: micadrum_membership::Status::Dead, .. })
        });
        deaths.count()
    };
    assert_eq!(accused(2, at(21), at(25) + slack), 0, "{}", history.text());
    assert!(right(report, at(25), at(29), "heard again") < 2 * SECOND + slack);
    assert_eq!(accused(3, at(29), at(37)), 0, "one that stood still accuses nobody: {}", history.text());
    assert!(right(report, at(33), at(37), "one that stood still goes on") < 2 * SECOND + slack);
    right(report, at(37) + slack, at(41), "a restart within the time of detection");
    let deaths_of_4 = history.records().iter().filter(|r| {
        r.at >= at(37) && r.at < at(41)
            && matches!(&r.event, HistoryEvent::Peers(Event::StatusChanged { name, current: micadrum_membership::Status::Dead, .. }) if name == "n4")
    });
    assert_eq!(deaths_of_4.count(), 0, "{}", history.text());
    let forgot = history
        .events(5, at(41))
        .any(|(_, event)| matches!(event, Event::StateLossDetected { incarnation: 2, known: 1 }));
    assert!(forgot, "a lost folder is recognised: {}", history.text());
    right(report, at(42) + slack, at(45), "a lost folder");
    let left = history.events(1, at(45)).any(|(_, event)| {
        matches!(event, Event::StatusChanged { name, current: micadrum_membership::Status::Left, .. } if name == "n0")
    });
    assert!(left, "who ends in good order says so: {}", history.text());
    right(report, at(54), at(59), "after loss");
    assert!(right(report, at(59), at(64), "one that sees half of the others") < SECOND);
    assert_eq!(history.false_deaths(3 * SECOND), [], "{}", history.text());
    assert!(
        history
            .events(6, at(3))
            .all(|(_, e)| !matches!(e, Event::LocalStatusChanged(LocalStatus::Superseded)))
    );
    assert!(report.verdict.kept, "{}", report.text());
}

/// What links between real processes carried: each look asks all for their own word.
fn judge_links(report: &Report) {
    let history = &report.history;
    let looks: Vec<AdminSnapshot> = history.admin_snapshots(0).collect();
    let all = [0, 1, 2, 3, 4, 5, 6];
    let [calm, cut, paused, broken, whole, half] = &looks[..] else {
        panic!("{looks:?}\n{}", history.text())
    };
    assert_eq!((calm.answered, calm.silent), (&all[..], &[][..]), "all say what they see");
    assert_eq!(
        (cut.answered, cut.silent),
        (&[0, 2, 4, 6][..], &[1, 3, 5][..]),
        "an open and silent link is given up"
    );
    assert_eq!(
        (paused.answered, paused.silent),
        (&[0, 1, 2, 4, 5, 6][..], &[3][..]),
        "one that stands still is given up"
    );
    assert!(!broken.silent.is_empty(), "a link that breaks within a frame gives nothing: {broken:?}");
    assert_eq!((whole.answered, whole.silent), (&all[..], &[][..]), "and works again at the next try");
    assert_eq!((half.answered, half.silent), (&[3, 4, 5, 6][..], &[0, 1, 2][..]));
    for snapshot in [cut, paused] {
        let asked = begun(history) + if snapshot.at == cut.at { 14 } else { 30 } * SECOND;
        assert!(snapshot.at - asked < 5 * SECOND, "a look takes its time and no longer");
    }
}

/// Guards against views, lives and rules that do not survive the failures of a fleet, in simulated time.
#[test]
fn all_failures_simulated() {
    for seed in 1..=3 {
        judge_all_failures(&common::play(Plan::new(all_failures(), seed)));
    }
}

/// The same with real processes whose datagrams pass through relays of the kit.
#[test]
fn all_failures_with_real_processes() {
    let report = live::run(Plan::new(all_failures(), 1), Some(daemon())).unwrap();
    judge_all_failures(&report);
    judge_links(&report);
}

/// Links of 110 ms that lose a fifth; a folder of yesterday put back; one killed in its midst.
fn slow_and_lossy() -> Scenario {
    let faults = [
        fault("restart", 4, "how = \"kill\"\nsenders = [1]\ndown = \"600 ms\""),
        fault("restart", 8, "how = \"kill\"\nsenders = [1]\ndown = \"600 ms\"\nfolder = \"older\""),
        fault("lose", 11, "for = \"18 s\"\ncalls = \"20%\""),
        fault("restart", 16, "how = \"kill\"\nsenders = [2]\ndown = \"9 s\""),
    ];
    day(8, 32, "110 ms", &faults.concat())
}

fn judge_slow_and_lossy(report: &Report) {
    let history = &report.history;
    let at = |seconds: u64| begun(history) + seconds * SECOND;
    let forgot = history
        .events(1, at(8))
        .any(|(_, e)| matches!(e, Event::StateLossDetected { incarnation: 3, known: 2 }));
    assert!(forgot, "a folder of yesterday is recognised: {}", history.text());
    right(report, at(9) + SECOND, at(11), "a folder of yesterday");
    // Behind loss a live one may be suspect at any moment: what counts is that the dead one is found, by all.
    let found = |by: u32| {
        history.events(by, at(16)).any(|(when, event)| {
            when < at(25)
                && matches!(event, Event::StatusChanged { name, current: micadrum_membership::Status::Dead, .. } if name == "n2")
        })
    };
    let missed: Vec<u32> = (0..8).filter(|by| *by != 2 && !found(*by)).collect();
    assert!(missed.is_empty(), "one killed behind loss: {missed:?}\n{}", history.text());
    right(report, at(29), at(32), "after loss");
    let deaths = history.records().iter().filter(|r| {
        r.at > at(11)
            && matches!(&r.event, HistoryEvent::Peers(Event::StatusChanged { name, current: micadrum_membership::Status::Dead, .. }) if name != "n2")
    });
    assert_eq!(deaths.count(), 0, "loss kills nobody: {}", history.text());
    assert!(report.verdict.kept, "{}", report.text());
}

/// Guards against slow and lossy links that hide a dead sender, or make a live one dead, in simulated time.
#[test]
fn slow_and_lossy_links_simulated() {
    for seed in 1..=5 {
        judge_slow_and_lossy(&common::play(Plan::new(slow_and_lossy(), seed)));
    }
}

/// The same with real processes.
#[test]
fn slow_and_lossy_links_with_real_processes() {
    judge_slow_and_lossy(&live::run(Plan::new(slow_and_lossy(), 1), Some(daemon())).unwrap());
}
