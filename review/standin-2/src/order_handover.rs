//! The process is replaced while a call with the first message of a key hangs: after its time-out the key has
//! to wait for the settling time before the next message goes out.
use crate::http::{self, Reply, Request, answer};
use crate::settings;
use crate::world::*;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// `order_settle` of the settings.
const SETTLE: Duration = Duration::from_millis(150);
/// What the protocol page adds to each time limit is granted to the sender here.
const SLACK: Duration = Duration::from_millis(50);
/// The call of the first message ends by a time-out 3.6 s after it was sent; the process is replaced before.
const REPLACED_AFTER_MS: u64 = 3_100;
/// The other partners, which answer: one endpoint of four hangs.
const OTHERS: [u32; 3] = [4, 5, 6];
/// How many messages the other partners get before the process is replaced, one every 0.2 s. With as many after it,
/// the one that hangs gets 2 of 26 messages.
const OTHER_MESSAGES: u64 = 12;
/// How long the partner takes calls and answers none.
const HANG: Duration = Duration::from_secs(9);

#[derive(Default)]
struct Seen {
    first: Option<(Instant, Option<Instant>)>,
    second: Option<Instant>,
}

pub fn run(case: &Case) -> ! {
    let (listener, endpoint) = listen();
    let mut members = vec![Member {
        id: "s-1".to_owned(),
        address: endpoint,
        flavor: "surgery",
        cell: 3,
        phase: "SERVING",
    }];
    members.extend(OTHERS.map(|cell| sound_partner(&format!("s-{cell}"), "depot", cell, 120)));
    let agent = Agent::start(&members, 0, &case.record);
    let [first, second] = [1, 2].map(|_| {
        let mut message = Message::new(new_id(), "result", "hospital", 3, 11.0);
        (message.entity, message.key) = (Some("7f3a9c21e0b4d655".to_owned()), Some(new_id()));
        message
    });
    let seen = Arc::new(Mutex::new(Seen::default()));
    let (served, record, ids) = (seen.clone(), case.record.clone(), [first.id.clone(), second.id.clone()]);
    http::serve(listener, move |request| endpoint_answer(request, &ids, &served, &record));

    let listen = free_address();
    let mut config = Config {
        name: "n1",
        listen,
        management: free_address(),
        discovery: agent.address,
        known: list_json(41, true, &members),
        settings: settings::laboratory(),
    };
    let path = case.write_config("config.json", &config.json());
    let _old = case.start_sender(&path, "old.log");
    case.wait_ready(listen);

    let mut client = Client::new(listen, &case.record);
    for message in [&first, &second] {
        if !client.hand_in(message).is_ok_and(|response| response.status == 202) {
            case.end(CANNOT_RUN, "a message was not taken on");
        }
    }
    let mut hand_in_others = || {
        for number in 0..OTHER_MESSAGES {
            let dest = OTHERS[number as usize % OTHERS.len()];
            let _ = client.hand_in(&Message::new(new_id(), "order", "practice", dest, 8.0));
            sleep_ms(200);
        }
    };
    hand_in_others();
    sleep_ms(REPLACED_AFTER_MS - 200 * OTHER_MESSAGES);
    let mut new = None;
    if case.trouble {
        config.management = free_address();
        let path = case.write_config("next.json", &config.json());
        new = Some(case.start_sender(&path, "new.log"));
        if !case.wait_status(config.management) {
            case.end(CANNOT_RUN, "the new process does not say yes");
        }
    }
    let limit = Instant::now() + ms(6_000);
    while Instant::now() < limit && seen.lock().unwrap().second.is_none() {
        sleep_ms(10);
    }
    hand_in_others();
    case.record_log("old.log");
    if new.is_some() {
        case.record_log("new.log");
    }
    let seen = seen.lock().unwrap();
    let (Some((_, Some(given_up))), Some(sent)) = (seen.first, seen.second) else {
        case.end(CANNOT_RUN, "the first call was not given up, or the second message not sent");
    };
    let gap = sent.saturating_duration_since(given_up);
    let text = format!(
        "the second message of the key came {:.1} ms after the first one's call was given up; the key settles {} ms",
        gap.as_secs_f64() * 1e3,
        SETTLE.as_millis()
    );
    case.end(if gap + SLACK < SETTLE { BROKEN } else { HELD }, &text)
}

/// A partner that takes calls and answers none for a while, and is sound afterwards.
fn endpoint_answer(request: &Request, ids: &[String; 2], seen: &Arc<Mutex<Seen>>, record: &Record) -> Reply {
    let id = request.header("X-Txn").unwrap_or_default().to_owned();
    record.line_at(request.last_byte, format!("endpoint: call with {id}"));
    let mut now = seen.lock().unwrap();
    if id == ids[0] && now.first.is_none() {
        now.first = Some((request.last_byte, None));
    }
    if id == ids[1] && now.second.is_none() {
        now.second = Some(request.first_byte);
    }
    let is_hanging = now.first.is_some_and(|(at, _)| at.elapsed() < HANG);
    if !is_hanging {
        return answer(200);
    }
    drop(now);
    let (seen, record, is_first) = (seen.clone(), record.clone(), id == ids[0]);
    Reply::Silence(Box::new(move || {
        record.line(format!("endpoint: the sender gave up its call with {id}"));
        if let Some((_, given_up)) = seen.lock().unwrap().first.as_mut().filter(|_| is_first) {
            given_up.get_or_insert_with(Instant::now);
        }
    }))
}
