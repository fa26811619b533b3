//! Case 3: a new process is killed during an upgrade, and the next one starts 0.6 s later.
//!
//! One sender with 20 messages a second and a partner with two endpoints that answer in 130 to 200 ms. Five times the
//! platform starts `run` one more time beside the running process, with a new second address and everything else the
//! same. It kills that new process 0.1 to 0.3 s after its start, and starts `run` again 0.6 s after the kill. That process
//! has 6 s to say yes; then the old one gets SIGTERM, and SIGKILL 3.7 s later. With TROUBLE=0 no process is killed during an
//! upgrade.
//!
//! The rule is broken if a process that the platform has neither killed nor told to end ends.
use review_standin::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const UPGRADES: u64 = 5;
const TIME_FOR_YES: Duration = Duration::from_secs(6);
const KILL_AFTER: Duration = Duration::from_millis(3700);
const START_AFTER_KILL: Duration = Duration::from_millis(600);

/// What became of a new process.
enum Upgrade {
    SaidYes(Sender),
    Ended,
}

fn main() {
    let folders = Folders::from_arguments();
    let record = Record::create(&folders.case.join("record.txt"));
    let members = ["east", "west"].into_iter().enumerate().map(|(number, zone)| {
        let (record, calls) = (record.clone(), AtomicU64::new(0));
        let address = start_endpoint(move |call| {
            thread::sleep(Duration::from_millis(130 + 7 * (calls.fetch_add(1, Ordering::Relaxed) % 11)));
            note!(record, "endpoint s-{number}: ran {}", call.ids.join(" "));
            all_ok(call)
        });
        Member { id: format!("s-{number}"), address, zone, kind: "fleet", cell: 1, phase: "SERVING" }
    });
    let agent = Agent::start(members.collect(), &record);
    let home = SenderHome {
        folders: &folders,
        name: "n1",
        listen: free_address(),
        discovery: agent.address,
        record: &record,
    };
    let configure = |file: &str| {
        let management = free_address();
        home.configure_with_management(file, management, &agent.known(), &settings(2, 5, 17));
        management
    };
    configure("config.json");
    let mut serving = home.start();
    let stops = Arc::new(AtomicBool::new(false));
    let clients = hand_in_until(&stops, &home, &record);
    let (mut ended, mut done) = (0, 0);
    for number in 0..UPGRADES {
        thread::sleep(Duration::from_millis(1500));
        if has_trouble() {
            let file = format!("config-{number}-killed.json");
            configure(&file);
            let mut killed = home.spawn(&file);
            thread::sleep(Duration::from_millis(100 + 50 * number));
            if killed.has_ended() {
                cannot_run("the first new process ended before it was killed");
            }
            killed.signal(SIGKILL);
            killed.wait(Duration::from_secs(2));
            note!(record, "platform: SIGKILL to the new process, {} ms after its start", 100 + 50 * number);
            thread::sleep(START_AFTER_KILL);
        }
        let file = format!("config-{number}.json");
        let management = configure(&file);
        match upgrade(&home, &file, management, &record) {
            Upgrade::SaidYes(new) => {
                end_old(std::mem::replace(&mut serving, new), &record);
                done += 1;
            }
            Upgrade::Ended => ended += 1,
        }
    }
    stops.store(true, Ordering::Relaxed);
    let taken_on = clients.join().unwrap_or(0);
    note!(
        record,
        "verdict: new processes that ended by themselves={ended} upgrades={done} taken_on={taken_on}"
    );
    println!("new processes that ended by themselves={ended} upgrades={done} taken_on={taken_on}");
    for line in home.log().lines() {
        note!(record, "log: {line}");
    }
    drop(serving);
    if taken_on < 100 {
        cannot_run("too few messages were taken on");
    }
    std::process::exit(i32::from(ended > 0));
}

/// Starts `run` one more time, and waits until the new process says yes.
fn upgrade(home: &SenderHome<'_>, file: &str, management: std::net::SocketAddr, record: &Record) -> Upgrade {
    let mut new = home.spawn(file);
    let until = Instant::now() + TIME_FOR_YES;
    while !answers_200(management, "/status") {
        if new.has_ended() {
            note!(record, "CRASH: the new process has ended by itself");
            return Upgrade::Ended;
        }
        if Instant::now() > until {
            cannot_run("the new process runs, but did not say yes within 6 s");
        }
        thread::sleep(Duration::from_millis(20));
    }
    note!(record, "platform: the new process said yes");
    Upgrade::SaidYes(new)
}

/// Ends the old process of an upgrade.
fn end_old(mut old: Sender, record: &Record) {
    old.signal(SIGTERM);
    if !old.wait(KILL_AFTER) {
        old.signal(SIGKILL);
        old.wait(Duration::from_secs(2));
    }
    note!(record, "platform: the old process was told to end, and has");
}

/// Hands 20 messages a second in. Returns the number of those that were taken on.
fn hand_in_until(
    stops: &Arc<AtomicBool>,
    home: &SenderHome<'_>,
    record: &Record,
) -> thread::JoinHandle<usize> {
    let (stops, address, record) = (stops.clone(), home.listen, record.clone());
    thread::spawn(move || {
        let (mut taken_on, mut number) = (0, 0xe000_0000_0000_0000_u64);
        while !stops.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{number:016x}");
            let message =
                Message { id, class: "charge", key: None, dest: 1, remaining: 15.0, body: vec![b'u'; 200] };
            let status = connect(address).ok().and_then(|mut http| message.hand_in(&mut http));
            note!(record, "client: {} answered {status:?}", message.id);
            taken_on += usize::from(status == Some(202));
            thread::sleep(Duration::from_millis(50));
        }
        taken_on
    })
}
