//! With a durable journal, an upgrade fails: the new process dies before it takes over, and the old one goes on.
//! Clients hand in again what was refused meanwhile.
use crate::http::{self, Request, answer};
use crate::settings;
use crate::world::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const OPERATOR: &str = "[durability]\noutlasts = \"machine\"\ndelay = \"100 ms\"\n";
const FAILED_UPGRADES: usize = 1;
/// Some 70 messages a second.
const CLIENTS: usize = 20;
const PARTNERS: [u32; 3] = [4, 5, 6];
/// How long a call takes at a partner, in milliseconds.
const WORK_MS: u64 = 200;
/// "After a refusal, clients hand a message in again up to 2 times, after a wait."
const AGAIN: usize = 2;
const AGAIN_AFTER_MS: u64 = 400;

/// What happened to one charge, by its number, which is in the body of each message with it.
#[derive(Default)]
struct Charge {
    /// The ids under which it was handed in, with the answers.
    handed_in: Vec<(String, u16)>,
    /// The ids under which it ran.
    ran: Vec<String>,
}

pub fn run(case: &Case) -> ! {
    let charges: Arc<Mutex<BTreeMap<String, Charge>>> = Arc::default();
    let mut members = Vec::new();
    for cell in PARTNERS {
        let (listener, address) = listen();
        members.push(Member { id: format!("s-{cell}"), address, flavor: "fleet", cell, phase: "SERVING" });
        let ran = charges.clone();
        http::serve(listener, move |request: &Request| {
            let number = String::from_utf8_lossy(&request.body).into_owned();
            let id = request.header("X-Txn").unwrap_or_default().to_owned();
            ran.lock().unwrap().entry(number).or_default().ran.push(id);
            sleep_ms(WORK_MS);
            answer(200)
        });
    }
    let agent = Agent::start(&members, 0, &case.record);

    let listen = free_address();
    let mut config = Config {
        name: "n1",
        listen,
        management: free_address(),
        discovery: agent.address,
        known: list_json(41, true, &members),
        settings: settings::toll(),
    };
    let operator = case.write_config("operator.toml", OPERATOR);
    let path = case.write_config("config.json", &config.json());
    let mut serving = case.start_sender_with(&path, Some(&operator), "sender.log");
    case.wait_ready(listen);

    let goes_on = Arc::new(AtomicBool::new(true));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (charges, goes_on, record) = (charges.clone(), goes_on.clone(), case.record.clone());
            thread::spawn(move || {
                let mut client = Client::quiet(listen, &record);
                while goes_on.load(Ordering::Relaxed) {
                    hand_in_charge(&mut client, PARTNERS[number % PARTNERS.len()], &charges);
                    sleep_ms(150 + 5 * number as u64);
                }
            })
        })
        .collect();
    sleep_ms(1_000);
    for upgrade in 1..=FAILED_UPGRADES {
        if case.trouble {
            config.management = free_address();
            let path = case.write_config(&format!("next-{upgrade}.json"), &config.json());
            let mut new = case.start_sender_with(&path, Some(&operator), &format!("new-{upgrade}.log"));
            // The old process still waits for its calls before it hands over.
            sleep_ms(60);
            new.kill();
            case.record.line(format!("upgrade {upgrade}: the new process was killed before it took over"));
        }
        sleep_ms(1_500);
    }
    goes_on.store(false, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    sleep_ms(3_000);
    case.record_log("sender.log");
    if serving.has_ended() {
        case.end(CANNOT_RUN, "the old process has ended");
    }
    let charges = charges.lock().unwrap();
    let (mut refused, mut twice) = (0, 0);
    for (number, charge) in charges.iter() {
        let was_refused =
            |id: &String| charge.handed_in.iter().any(|(own, status)| own == id && *status == 503);
        let refused_ones = charge.ran.iter().filter(|id| was_refused(id)).count();
        refused += refused_ones;
        twice += usize::from(charge.ran.len() > 1);
        if refused_ones > 0 {
            case.record
                .line(format!("{number}: handed in as {:?}, ran as {:?}", charge.handed_in, charge.ran));
        }
    }
    let text = format!(
        "of {} charges, {refused} ran although the sender had refused them with 503, {twice} ran twice",
        charges.len()
    );
    case.end(if refused == 0 && twice == 0 { HELD } else { BROKEN }, &text)
}

/// Hands in a charge, and hands it in again under a new id if it is refused.
fn hand_in_charge(client: &mut Client, dest: u32, charges: &Mutex<BTreeMap<String, Charge>>) {
    let number = format!("charge {}", new_id());
    for _ in 0..=AGAIN {
        let mut message = Message::new(new_id(), "charge", "cestnina", dest, 14.0);
        message.body = number.clone().into_bytes();
        let status = client.hand_in(&message).map_or(0, |response| response.status);
        let mut charges = charges.lock().unwrap();
        charges.entry(number.clone()).or_default().handed_in.push((message.id, status));
        drop(charges);
        if status != 503 && status != 429 {
            return;
        }
        sleep_ms(AGAIN_AFTER_MS);
    }
}
