//! The process is replaced time after time under steady traffic, as releases are rolled.
use crate::http::{self, Request, answer};
use crate::settings;
use crate::world::*;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const UPGRADES: usize = 14;
/// Some 37 messages a second: the half of the deployment's 75, for one of two senders.
const CLIENTS: usize = 10;
/// How long a call takes at the partner, in milliseconds. "They differ much in the time that they take."
const WORK_MS: u64 = 300;

pub fn run(case: &Case) -> ! {
    let endpoints = [listen(), listen()];
    let [first, second] = [endpoints[0].1, endpoints[1].1];
    let member =
        |id: &str, address| Member { id: id.to_owned(), address, flavor: "fleet", cell: 4, phase: "SERVING" };
    let members = [member("s-1", first), member("s-2", second)];
    let agent = Agent::start(&members, 0, &case.record);
    let delivered: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    for (listener, _) in endpoints {
        let delivered = delivered.clone();
        http::serve(listener, move |request: &Request| {
            sleep_ms(WORK_MS);
            delivered.lock().unwrap().extend(request.header("X-Txn").map(str::to_owned));
            answer(200)
        });
    }

    let listen = free_address();
    let mut config = Config {
        name: "n1",
        listen,
        management: free_address(),
        discovery: agent.address,
        known: list_json(41, true, &members),
        settings: settings::toll(),
    };
    let path = case.write_config("config.json", &config.json());
    let mut serving = case.start_sender(&path, "sender-0.log");
    case.wait_ready(listen);

    // Steady traffic of both classes.
    let taken_on: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let goes_on = Arc::new(AtomicBool::new(true));
    for number in 0..CLIENTS {
        let (taken_on, goes_on, record) = (taken_on.clone(), goes_on.clone(), case.record.clone());
        thread::spawn(move || {
            let mut client = Client::quiet(listen, &record);
            while goes_on.load(Ordering::Relaxed) {
                let mut message = if number % 2 == 0 {
                    Message::new(new_id(), "charge", "cestnina", 4, 15.0)
                } else {
                    Message::new(new_id(), "trip-record", "parkirisca", 4, 18.0)
                };
                if number % 2 == 1 {
                    (message.entity, message.key) = (Some(new_id()), Some(new_id()));
                }
                if client.hand_in(&message).is_ok_and(|response| response.status == 202) {
                    taken_on.lock().unwrap().push((message.id, Instant::now()));
                } else {
                    sleep_ms(100);
                }
                sleep_ms(220 + 10 * number as u64);
            }
        });
    }
    sleep_ms(1_000);

    let mut crash = None;
    for upgrade in 1..=UPGRADES {
        if !case.trouble {
            sleep_ms(2_500);
            continue;
        }
        config.management = free_address();
        let path = case.write_config(&format!("next-{upgrade}.json"), &config.json());
        let mut new = case.start_sender(&path, &format!("sender-{upgrade}.log"));
        let says_yes = case.wait_status_while(config.management, || !new.has_ended());
        let stored = std::fs::metadata(case.folder.join("state/classes.json")).map_or(0, |file| file.len());
        case.record.line(format!("upgrade {upgrade}: yes={says_yes} classes.json has {stored} bytes"));
        if !says_yes {
            sleep_ms(500);
            let ended = [serving.has_ended(), new.has_ended()];
            crash = Some((upgrade, ended));
            case.record_log(&format!("sender-{}.log", upgrade - 1));
            case.record_log(&format!("sender-{upgrade}.log"));
            let log = std::fs::read_to_string(case.folder.join(format!("sender-{upgrade}.log")));
            if log.is_ok_and(|text| text.contains("cannot listen")) {
                case.end(CANNOT_RUN, "the second address was taken");
            }
            serving = new;
            break;
        }
        serving.end_gracefully();
        serving = new;
        sleep_ms(500);
    }
    goes_on.store(false, Ordering::Relaxed);
    if !case.trouble && serving.has_ended() {
        crash = Some((0, [true, false]));
    }
    // The last message is over by then, if anybody still serves.
    sleep_ms(19_500);
    let (taken_on, delivered) = (taken_on.lock().unwrap(), delivered.lock().unwrap());
    if taken_on.len() < 50 {
        case.end(CANNOT_RUN, "hardly a message was taken on");
    }
    let notices = agent.notices();
    let has_end = |id: &String| delivered.contains(id) || notices.iter().any(|notice| notice.id == *id);
    let lost = taken_on.iter().filter(|(id, _)| !has_end(id)).count();
    match crash {
        Some((upgrade, [old, new])) => case.end(
            BROKEN,
            &format!(
                "at upgrade {upgrade} the old process ended: {old}, the new one ended: {new}; of {} messages taken on, {lost} have no end",
                taken_on.len()
            ),
        ),
        None if lost > 0 => case.end(BROKEN, &format!("of {} messages taken on, {lost} have no end", taken_on.len())),
        None => case.end(HELD, &format!("{} messages taken on, each has its end", taken_on.len())),
    }
}
