//! Discovery is slow: its agent takes 0.4 s to answer, from the start of the sender on. Meanwhile an endpoint of one
//! partner goes, and an endpoint of another partner comes at its address.
use crate::http::{self, Request, answer};
use crate::settings;
use crate::world::*;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long the slow agent takes to answer.
const AGENT_DELAY_MS: u64 = 400;
/// "A change counts as told at the latest 6 s after discovery had it and could be reached".
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// `drain_grace` of the settings, and what the protocol page adds to each time limit.
const GRACE: Duration = Duration::from_secs(1);
const SLACK: Duration = Duration::from_millis(50);
/// When the endpoint goes, and when the clients stop, after the sender is ready.
const CHANGE_AT: Duration = Duration::from_secs(2);
const RUN: Duration = Duration::from_secs(16);

/// The partner whose endpoint goes, and the one whose endpoint comes at its address.
const OWN: u32 = 3;
const OTHER: u32 = 4;

#[derive(Default)]
struct World {
    /// The partner of each message.
    dest: BTreeMap<String, u32>,
    /// When the endpoint at the first address became one of the other partner.
    changed_at: Option<Instant>,
    /// How long after the change messages for the first partner came to the other one.
    wrong: Vec<Duration>,
}

pub fn run(case: &Case) -> ! {
    let [reused, others, replacement] = [listen(), listen(), listen()];
    let member = |id: &str, address, cell, phase| Member {
        id: id.to_owned(),
        address,
        flavor: "leasing",
        cell,
        phase,
    };
    let before = [member("s-1", reused.1, OWN, "SERVING"), member("s-2", others.1, OTHER, "SERVING")];
    let agent = Agent::start(&before, if case.trouble { AGENT_DELAY_MS } else { 0 }, &case.record);
    let world: Arc<Mutex<World>> = Arc::default();
    for (listener, is_reused) in [(reused.0, true), (others.0, false), (replacement.0, false)] {
        serve_endpoint(listener, is_reused, &world, &case.record);
    }

    let listen = free_address();
    let config = Config {
        name: "n1",
        listen,
        management: free_address(),
        discovery: agent.address,
        known: list_json(41, true, &before),
        settings: settings::toll(),
    };
    let path = case.write_config("config.json", &config.json());
    let _sender = case.start_sender(&path, "sender.log");
    case.wait_ready(listen);

    let mut client = Client::quiet(listen, &case.record);
    let (mut taken_on, start) = (Vec::new(), Instant::now());
    while start.elapsed() < RUN {
        if start.elapsed() >= CHANGE_AT && world.lock().unwrap().changed_at.is_none() {
            world.lock().unwrap().changed_at = Some(Instant::now());
            agent.change(&[
                member("s-1", reused.1, OWN, "DELETED"),
                member("s-3", reused.1, OTHER, "SERVING"),
                member("s-4", replacement.1, OWN, "SERVING"),
            ]);
        }
        for dest in [OWN, OTHER] {
            let message = Message::new(new_id(), "charge", "cestnina", dest, 15.0);
            world.lock().unwrap().dest.insert(message.id.clone(), dest);
            if client.hand_in(&message).is_ok_and(|response| response.status == 202) {
                taken_on.push(message.id);
            }
        }
        sleep_ms(250);
    }
    sleep_ms(1_000);
    case.record_log("sender.log");
    if taken_on.len() < 50 {
        case.end(CANNOT_RUN, "hardly a message was taken on");
    }
    let world = world.lock().unwrap();
    let limit = TOLD_AFTER + GRACE + SLACK;
    let late = world.wrong.iter().filter(|after| **after > limit).count();
    let last = world.wrong.iter().max().copied().unwrap_or_default().as_secs_f64();
    let text = format!(
        "of {} messages taken on, {} for partner {OWN} went to partner {OTHER}, {late} of them later than {:.2} s after the agent had the change, the last one after {last:.1} s",
        taken_on.len(),
        world.wrong.len(),
        limit.as_secs_f64()
    );
    case.end(if late == 0 { HELD } else { BROKEN }, &text)
}

/// A sound endpoint: it runs what it gets, whoever it was meant for.
fn serve_endpoint(listener: TcpListener, is_reused: bool, world: &Arc<Mutex<World>>, record: &Record) {
    let (world, record) = (world.clone(), record.clone());
    http::serve(listener, move |request: &Request| {
        let id = request.header("X-Txn").unwrap_or_default().to_owned();
        let mut now = world.lock().unwrap();
        let dest = now.dest.get(&id).copied();
        if let Some(changed_at) = now.changed_at.filter(|_| is_reused && dest == Some(OWN)) {
            let after = request.first_byte.saturating_duration_since(changed_at);
            record.line(format!(
                "partner {OTHER}: got {id}, which is for partner {OWN}, {:.2} s after the change",
                after.as_secs_f64()
            ));
            now.wrong.push(after);
        }
        drop(now);
        sleep_ms(100);
        answer(200)
    });
}
