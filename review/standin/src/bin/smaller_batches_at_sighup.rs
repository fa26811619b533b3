//! Case 3: a new configuration allows fewer messages in a call.
//!
//! Two senders and a bank with one endpoint; a call may carry five messages. Charges come one by one, six a second, and
//! every 12 s a clump of 14 comes at once. After 9 s the platform replaces the configuration file with one whose
//! settings allow two messages in a call, and sends SIGHUP; the bank holds calls to the new limit from 4 s later on.
//! With TROUBLE=0 the configuration stays.
use review_standin::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const LENGTH: Duration = Duration::from_secs(50);
const SINGLE_EVERY: Duration = Duration::from_millis(167);
const CLUMP_EVERY: Duration = Duration::from_secs(12);
const CLUMP: usize = 14;
const RELOAD_AT: Duration = Duration::from_secs(9);
const ENFORCED_AT: Duration = Duration::from_secs(13);
const BATCH_BEFORE: usize = 5;
const BATCH_AFTER: usize = 2;

fn main() {
    let folders = Folders::from_arguments();
    let record = Record::create(&folders.case.join("record.txt"));
    let allowed = Arc::new(AtomicUsize::new(BATCH_BEFORE));
    let limit = allowed.clone();
    let (address, bank) = start_bank(move || limit.load(Ordering::Relaxed), &record);
    let member =
        Member { id: "s-0".to_owned(), address, zone: "east", kind: "bank", cell: 1, phase: "SERVING" };
    let agent = Agent::start(vec![member], &record);
    let homes = ["n1", "n2"].map(|name| SenderHome {
        folders: &folders,
        name,
        listen: free_address(),
        discovery: agent.address,
        record: &record,
    });
    for home in &homes {
        home.configure(&agent.known(), &settings(homes.len(), BATCH_BEFORE, 17));
    }
    let senders: Vec<Sender> = homes.iter().map(SenderHome::start).collect();
    let mut addresses: Vec<SocketAddr> = homes.iter().map(|home| home.listen).collect();
    let mut next = 0xc000_0000_0000_0000_u64;
    let mut charges = |count: usize| -> Vec<Message> {
        let charge = |_| {
            next += 1;
            let id = format!("{next:016x}");
            Message { id, class: "charge", key: None, dest: 1, remaining: 15.0, body: vec![b'z'; 200] }
        };
        (0..count).map(charge).collect()
    };
    let (begun, mut accepted, mut clumps) = (Instant::now(), Vec::new(), 0);
    let (mut is_reloaded, mut is_enforced) = (!has_trouble(), !has_trouble());
    while begun.elapsed() < LENGTH {
        let single = Instant::now();
        if !is_reloaded && begun.elapsed() >= RELOAD_AT {
            is_reloaded = true;
            for (home, sender) in homes.iter().zip(&senders) {
                home.configure(&agent.known(), &settings(homes.len(), BATCH_AFTER, 17));
                sender.signal(SIGHUP);
                note!(
                    record,
                    "platform: {} has a new file, {BATCH_AFTER} messages in a call; SIGHUP",
                    home.name
                );
            }
        }
        if !is_enforced && begun.elapsed() >= ENFORCED_AT {
            is_enforced = true;
            allowed.store(BATCH_AFTER, Ordering::Relaxed);
            note!(record, "bank: from now on {BATCH_AFTER} messages in a call");
        }
        if begun.elapsed() >= CLUMP_EVERY * clumps + Duration::from_secs(6) {
            clumps += 1;
            note!(record, "clients: a clump of {CLUMP}");
            accepted.extend(hand_in_together(charges(CLUMP), &addresses, &record));
        }
        addresses.rotate_left(1);
        accepted.extend(hand_in_together(charges(1), &addresses, &record));
        thread::sleep(SINGLE_EVERY.saturating_sub(single.elapsed()));
    }
    // All time limits have passed.
    thread::sleep(Duration::from_millis(16_500));
    for home in &homes {
        let applied = home.log().matches("reload: applied").count();
        note!(record, "platform: {} logged {applied} applied reloads", home.name);
        if has_trouble() && applied == 0 {
            cannot_run("a sender did not apply the new configuration");
        }
    }
    let code = judge_bank(&accepted, &bank.lock().unwrap(), &agent, &record);
    drop(senders);
    std::process::exit(code);
}
