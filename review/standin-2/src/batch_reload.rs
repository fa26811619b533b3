//! A new configuration takes back that banks get several messages in a call.
use crate::http::{self, Reply, Request, answer};
use crate::json::Json;
use crate::settings;
use crate::world::*;
use std::collections::BTreeSet;
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::Instant;

/// How many messages a bank takes in a call, before and after the new configuration.
const BEFORE: usize = 5;
const AFTER: usize = 2;
/// The messages of the clump; the bank takes 8 a second, so it is what it takes in 3 s.
const CLUMP: usize = 24;

#[derive(Default)]
struct Bank {
    takes: usize,
    too_many: Vec<usize>,
    ran: BTreeSet<String>,
}

pub fn run(case: &Case) -> ! {
    let (listener, endpoint) = listen();
    let members =
        [Member { id: "s-1".to_owned(), address: endpoint, flavor: "bank", cell: 7, phase: "SERVING" }];
    let agent = Agent::start(&members, 0, &case.record);
    let bank = Arc::new(Mutex::new(Bank { takes: BEFORE, ..Bank::default() }));
    let (served, record) = (bank.clone(), case.record.clone());
    http::serve(listener, move |request| bank_answer(request, &served, &record));

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
    let mut sender = case.start_sender(&path, "sender.log");
    case.wait_ready(listen);
    let mut client = Client::new(listen, &case.record);
    for _ in 0..3 {
        let _ = client.hand_in(&Message::new(new_id(), "charge", "cestnina", 7, 15.0));
        sleep_ms(300);
    }
    if case.trouble {
        config.settings = config.settings.replace("\"bundle_max\":[5,1,1]", "\"bundle_max\":[2,1,1]");
        case.write_config("config.json", &config.json());
        sender.signal(SIGHUP);
        case.record.line("a new configuration: a bank takes 2 messages in a call");
        sleep_ms(4_000);
        bank.lock().unwrap().takes = AFTER;
    }
    let barrier = Arc::new(Barrier::new(CLUMP));
    let clients: Vec<_> = (0..CLUMP)
        .map(|_| {
            let (barrier, record) = (barrier.clone(), case.record.clone());
            thread::spawn(move || {
                let message = Message::new(new_id(), "charge", "cestnina", 7, 15.0);
                barrier.wait();
                let response = Client::new(listen, &record).hand_in(&message);
                response.is_ok_and(|response| response.status == 202).then_some(message.id)
            })
        })
        .collect();
    let taken_on: Vec<String> =
        clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    let limit = Instant::now() + ms(16_000);
    let ended = |id: &String| {
        bank.lock().unwrap().ran.contains(id) || agent.notices().iter().any(|notice| notice.id == *id)
    };
    while Instant::now() < limit && !taken_on.iter().all(ended) {
        sleep_ms(50);
    }
    sleep_ms(300);
    case.record_log("sender.log");
    if taken_on.is_empty() || sender.has_ended() {
        case.end(CANNOT_RUN, "no message was taken on");
    }
    let bank = bank.lock().unwrap();
    let ran = taken_on.iter().filter(|id| bank.ran.contains(*id)).count();
    let failed = agent.notices().iter().filter(|notice| notice.state == "failed").count();
    let text = format!(
        "taken on {}, run {ran}, failed by a notice {failed}; calls with more messages than the bank takes: {:?}",
        taken_on.len(),
        bank.too_many
    );
    case.end(if bank.too_many.is_empty() { HELD } else { BROKEN }, &text)
}

fn bank_answer(request: &Request, bank: &Mutex<Bank>, record: &Record) -> Reply {
    let ids: Vec<String> = match request.path.as_str() {
        "/hook" => request.header("X-Txn").map(str::to_owned).into_iter().collect(),
        _ => {
            let Some(batch) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
                return answer(400);
            };
            let id = |item: &Json| item.get("id").and_then(Json::text).map(str::to_owned);
            batch.array().iter().filter_map(id).collect()
        }
    };
    let takes = bank.lock().unwrap().takes;
    if ids.len() > takes {
        record.line(format!("bank: a call with {} messages: 413, not run", ids.len()));
        bank.lock().unwrap().too_many.push(ids.len());
        return answer(413);
    }
    record.line(format!("bank: ran {}", ids.join(" ")));
    sleep_ms(150);
    let states: Vec<String> = ids.iter().map(|id| format!("{{\"id\":\"{id}\",\"state\":\"ok\"}}")).collect();
    bank.lock().unwrap().ran.extend(ids);
    Reply::Answer(200, String::new(), format!("[{}]", states.join(",")))
}
