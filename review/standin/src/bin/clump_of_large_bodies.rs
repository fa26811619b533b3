//! Case 2: clumps of charges with bodies of 12,000 bytes for one bank.
//!
//! Two senders and a bank with one endpoint; a call may carry five messages. Charges come one by one, six a second,
//! and every 12 s a clump of 14 comes at once. The bank answers 413 to a body of over 64 KiB. With TROUBLE=0 there are
//! no clumps.
use review_standin::*;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const LENGTH: Duration = Duration::from_secs(50);
const SINGLE_EVERY: Duration = Duration::from_millis(167);
const CLUMP_EVERY: Duration = Duration::from_secs(12);
const CLUMP: usize = 14;
const BODY_BYTES: usize = 12_000;

fn main() {
    let folders = Folders::from_arguments();
    let record = Record::create(&folders.case.join("record.txt"));
    let (address, bank) = start_bank(|| 5, &record);
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
        home.configure(&agent.known(), &settings(homes.len(), 5, 17));
    }
    let senders: Vec<Sender> = homes.iter().map(SenderHome::start).collect();
    let mut addresses: Vec<SocketAddr> = homes.iter().map(|home| home.listen).collect();
    let mut next = 0xb000_0000_0000_0000_u64;
    let mut charges = |count: usize| -> Vec<Message> {
        let charge = |_| {
            next += 1;
            let id = format!("{next:016x}");
            Message { id, class: "charge", key: None, dest: 1, remaining: 15.0, body: vec![b'y'; BODY_BYTES] }
        };
        (0..count).map(charge).collect()
    };
    let (begun, mut accepted, mut clumps) = (Instant::now(), Vec::new(), 0);
    while begun.elapsed() < LENGTH {
        let single = Instant::now();
        if has_trouble() && begun.elapsed() >= CLUMP_EVERY * clumps + Duration::from_secs(6) {
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
    let code = judge_bank(&accepted, &bank.lock().unwrap(), &agent, &record);
    drop(senders);
    std::process::exit(code);
}
