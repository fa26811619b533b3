//! A clump of messages for a partner that takes several in a call: the body of a call holds at most 64 KiB.
use crate::http::{self, Reply, Request, answer};
use crate::json::Json;
use crate::settings;
use crate::world::*;
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::Instant;

const MAX_BODY_BYTES: usize = 64 * 1024;
/// The messages of the clump; the partner takes 6 a second, so it is what it takes in 1.7 s.
const MESSAGES: usize = 10;
/// Each message by itself is well within the limit.
const MESSAGE_BYTES: usize = 30_000;

#[derive(Default)]
struct Seen {
    /// Bodies over the limit.
    too_large: Vec<usize>,
    /// The ids that ran.
    ran: Vec<String>,
}

pub fn run(case: &Case) -> ! {
    let (listener, endpoint) = listen();
    let members =
        [Member { id: "s-1".to_owned(), address: endpoint, flavor: "bank", cell: 7, phase: "SERVING" }];
    let agent = Agent::start(&members, 0, &case.record);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let (served, record) = (seen.clone(), case.record.clone());
    http::serve(listener, move |request| endpoint_answer(request, &served, &record));

    let listen = free_address();
    let config = Config {
        name: "n1",
        listen,
        management: free_address(),
        discovery: agent.address,
        known: list_json(41, true, &members),
        settings: settings::toll(),
    };
    let path = case.write_config("config.json", &config.json());
    let _sender = case.start_sender(&path, "sender.log");
    case.wait_ready(listen);
    sleep_ms(300);

    let messages: Vec<Message> = (0..MESSAGES)
        .map(|_| {
            let mut message = Message::new(new_id(), "charge", "cestnina", 7, 15.0);
            message.body = vec![b'x'; MESSAGE_BYTES];
            message
        })
        .collect();
    let taken_on = if case.trouble {
        hand_in_at_once(case, listen, &messages)
    } else {
        one_by_one(case, listen, &messages)
    };
    let limit = Instant::now() + ms(20_000);
    let ended = |id: &String| {
        seen.lock().unwrap().ran.contains(id) || agent.notices().iter().any(|notice| notice.id == *id)
    };
    while Instant::now() < limit && !taken_on.iter().all(ended) {
        sleep_ms(50);
    }
    sleep_ms(500);
    case.record_log("sender.log");
    let seen = seen.lock().unwrap();
    let ran = taken_on.iter().filter(|id| seen.ran.contains(id)).count();
    let failed = agent.notices().iter().filter(|notice| notice.state == "failed").count();
    let summary = format!(
        "taken on {}, run {ran}, failed by a notice {failed}, bodies over 64 KiB {:?}",
        taken_on.len(),
        seen.too_large
    );
    if taken_on.is_empty() {
        case.end(CANNOT_RUN, &summary);
    }
    case.end(if seen.too_large.is_empty() { HELD } else { BROKEN }, &summary)
}

fn hand_in_at_once(case: &Case, listen: std::net::SocketAddr, messages: &[Message]) -> Vec<String> {
    let barrier = Arc::new(Barrier::new(messages.len()));
    let clients = messages.iter().cloned().map(|message| {
        let (barrier, record) = (barrier.clone(), case.record.clone());
        thread::spawn(move || {
            let mut client = Client::new(listen, &record);
            barrier.wait();
            let response = client.hand_in(&message);
            response.is_ok_and(|response| response.status == 202).then_some(message.id)
        })
    });
    let clients: Vec<_> = clients.collect();
    clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect()
}

fn one_by_one(case: &Case, listen: std::net::SocketAddr, messages: &[Message]) -> Vec<String> {
    let mut client = Client::new(listen, &case.record);
    let mut taken_on = Vec::new();
    for message in messages {
        if client.hand_in(message).is_ok_and(|response| response.status == 202) {
            taken_on.push(message.id.clone());
        }
        sleep_ms(400);
    }
    taken_on
}

/// A sound endpoint: it refuses a body over the limit unseen, and runs everything else.
fn endpoint_answer(request: &Request, seen: &Mutex<Seen>, record: &Record) -> Reply {
    let bytes = request.body.len();
    if bytes > MAX_BODY_BYTES {
        record.line(format!("endpoint: {} with {bytes} bytes: 413, not run", request.path));
        seen.lock().unwrap().too_large.push(bytes);
        return answer(413);
    }
    sleep_ms(150);
    let mut ids = Vec::new();
    match request.path.as_str() {
        "/hook" => ids.extend(request.header("X-Txn").map(str::to_owned)),
        _ => {
            let text = String::from_utf8_lossy(&request.body).into_owned();
            let Some(batch) = Json::parse(&text) else { return answer(400) };
            let id = |item: &Json| item.get("id").and_then(Json::text).map(str::to_owned);
            ids.extend(batch.array().iter().filter_map(id));
        }
    }
    record.line(format!("endpoint: {} with {bytes} bytes: ran {}", request.path, ids.join(" ")));
    let states: Vec<String> = ids.iter().map(|id| format!("{{\"id\":\"{id}\",\"state\":\"ok\"}}")).collect();
    seen.lock().unwrap().ran.extend(ids);
    Reply::Answer(200, String::new(), format!("[{}]", states.join(",")))
}
