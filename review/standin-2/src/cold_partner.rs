//! A quiet partner hangs for 9 s; the one call that it gets meanwhile times out. It comes back cold, and a
//! clump of messages for it arrives.
use crate::http::{self, Reply, Request, answer};
use crate::settings;
use crate::world::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the warm partner takes, in calls a second.
const CAPACITY: f64 = 8.0;
/// The clump: what the warm partner takes in 3.2 s.
const CLUMP: usize = 26;
/// "Partners take calls and answer none for 8.2 to 23 s."
const HANG: Duration = Duration::from_secs(9);
/// The figures of the settings: the share of its capacity at its return, the time until it is warm, the
/// multiple that it bears, and for how long.
const COLD_SHARE: f64 = 0.19;
const RAMP_S: f64 = 11.0;
const FACTOR: f64 = 2.0;
const FALL_S: f64 = 1.5;
/// The time of a call at the warm partner, in seconds.
const WORK_S: f64 = 0.15;

/// The other partners, which answer, and get 12 messages a second together.
const OTHERS: [u32; 4] = [1, 2, 3, 4];
/// The shares of the messages that the pages allow for a partner that hangs, and for clumps.
const HANGING_SHARE: f64 = 0.27;
const CLUMP_SHARE: f64 = 0.17;

#[derive(Default)]
struct Partner {
    hang_from: Option<Instant>,
    /// Whether a call was given up by the sender while the partner hung.
    is_told: bool,
    /// Calls since the return.
    calls: Vec<Instant>,
    /// The first call of the first window with more calls than the partner bears.
    pushed_from: Option<Instant>,
    /// The most calls in such a window, and what the partner bears in it.
    peak: Option<(usize, f64)>,
}

impl Partner {
    fn back_at(&self) -> Option<Instant> {
        self.hang_from.map(|from| from + HANG)
    }

    /// The share of its capacity `at` seconds after the return.
    fn share(at: f64) -> f64 {
        (COLD_SHARE + (1.0 - COLD_SHARE) * (at / RAMP_S)).min(1.0)
    }

    /// Returns how many calls the partner bears in the window that ends `at` seconds after its return.
    fn bears(at: f64) -> f64 {
        let (from, steps) = ((at - FALL_S).max(0.0), 100);
        let width = (at - from) / f64::from(steps);
        let shares = (0..steps).map(|step| Self::share(from + (f64::from(step) + 0.5) * width));
        // A window that begins before the return counts as if the partner had been cold then, too.
        let early = FALL_S - (at - from);
        let allowed = FACTOR * CAPACITY * (shares.sum::<f64>() * width + COLD_SHARE * early);
        if allowed < 30.0 {
            allowed + 3.0 * allowed.sqrt() + 3.0
        } else {
            allowed + 2.0 * allowed.sqrt() + 2.0
        }
    }

    /// It falls over once it was pushed for the time in the settings, and stays down.
    fn is_down(&self, now: Instant) -> bool {
        self.pushed_from.is_some_and(|from| now.duration_since(from).as_secs_f64() > FALL_S)
    }

    /// Counts a call, and returns the partner's share of its capacity now.
    fn call(&mut self, now: Instant, record: &Record) -> f64 {
        let Some(back) = self.back_at() else { return 1.0 };
        self.calls.push(now);
        let at = now.saturating_duration_since(back).as_secs_f64();
        let is_recent = |call: &&Instant| now.duration_since(**call).as_secs_f64() <= FALL_S;
        let (window, bears) = (self.calls.iter().filter(is_recent).count(), Self::bears(at));
        if window as f64 > bears && at < RAMP_S && !self.is_down(now) {
            if self.pushed_from.is_none() {
                self.pushed_from = self.calls.iter().find(is_recent).copied();
                record.line(format!(
                    "partner: {window} calls in {FALL_S} s, {at:.2} s after its return; it bears {bears:.1}"
                ));
            }
            if self.peak.is_none_or(|(most, _)| window > most) {
                self.peak = Some((window, bears));
            }
        }
        Self::share(at)
    }
}

pub fn run(case: &Case) -> ! {
    let (listener, endpoint) = listen();
    let mut members = vec![Member {
        id: "s-1".to_owned(),
        address: endpoint,
        flavor: "leasing",
        cell: 9,
        phase: "SERVING",
    }];
    members.extend(OTHERS.map(|cell| sound_partner(&format!("s-o{cell}"), "leasing", cell, 150)));
    let agent = Agent::start(&members, 0, &case.record);
    let partner: Arc<Mutex<Partner>> = Arc::default();
    let (served, record) = (partner.clone(), case.record.clone());
    http::serve(listener, move |request| partner_answer(request, &served, &record));

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

    let goes_on = Arc::new(AtomicBool::new(true));
    let others: Vec<_> = OTHERS
        .map(|cell| {
            let (goes_on, record) = (goes_on.clone(), case.record.clone());
            thread::spawn(move || {
                let (mut client, mut taken_on) = (Client::quiet(listen, &record), 0);
                while goes_on.load(Ordering::Relaxed) {
                    let message = Message::new(new_id(), "charge", "parkirisca", cell, 15.0);
                    let response = client.hand_in(&message);
                    taken_on += usize::from(response.is_ok_and(|response| response.status == 202));
                    sleep_ms(330);
                }
                taken_on
            })
        })
        .into();
    let mut client = Client::new(listen, &case.record);
    let mut hand_in = || {
        let message = Message::new(new_id(), "charge", "cestnina", 9, 15.0);
        if !client.hand_in(&message).is_ok_and(|response| response.status == 202) {
            case.end(CANNOT_RUN, "a message was not taken on");
        }
    };
    for _ in 0..4 {
        hand_in();
        sleep_ms(1_000);
    }
    if case.trouble {
        partner.lock().unwrap().hang_from = Some(Instant::now());
        case.record.line("partner: takes calls and answers none");
    }
    sleep_ms(300);
    hand_in();
    sleep_ms(HANG.as_millis() as u64 - 300);
    if case.trouble {
        case.record.line("partner: is back, cold");
    }
    sleep_ms(500);
    let barrier = Arc::new(Barrier::new(CLUMP));
    let clients: Vec<_> = (0..CLUMP)
        .map(|_| {
            let (barrier, record) = (barrier.clone(), case.record.clone());
            thread::spawn(move || {
                let message = Message::new(new_id(), "charge", "cestnina", 9, 15.0);
                barrier.wait();
                let _ = Client::new(listen, &record).hand_in(&message);
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    sleep_ms(2_000);
    goes_on.store(false, Ordering::Relaxed);
    let others: usize = others.into_iter().filter_map(|client| client.join().ok()).sum();
    sleep_ms(14_500);
    case.record_log("sender.log");
    let all = (others + 5 + CLUMP) as f64;
    let shares = [(5 + CLUMP) as f64 / all, CLUMP as f64 / all];
    case.record.line(format!(
        "shares of the messages: {:.3} for the partner, {:.3} in the clump",
        shares[0], shares[1]
    ));
    if shares[0] > HANGING_SHARE || shares[1] > CLUMP_SHARE {
        case.end(CANNOT_RUN, "the partner or the clump has more of the messages than the pages allow");
    }
    let partner = partner.lock().unwrap();
    if case.trouble && !partner.is_told {
        case.end(CANNOT_RUN, "the sender did not give up its call while the partner hung");
    }
    match partner.peak {
        Some((calls, bears)) => {
            let text = format!(
                "{calls} calls in {FALL_S} s to a cold partner that bears {bears:.1}, all from a sender that was told"
            );
            case.end(BROKEN, &text)
        }
        None => case.end(HELD, "the partner did not fall over"),
    }
}

fn partner_answer(request: &Request, partner: &Arc<Mutex<Partner>>, record: &Record) -> Reply {
    let id = request.header("X-Txn").unwrap_or_default().to_owned();
    let mut now = partner.lock().unwrap();
    if now.back_at().is_some_and(|back| request.last_byte < back) {
        record.line_at(request.last_byte, format!("partner: call with {id}, not answered"));
        drop(now);
        let (partner, record) = (partner.clone(), record.clone());
        return Reply::Silence(Box::new(move || {
            record.line(format!("partner: the sender gave up its call with {id}"));
            let mut partner = partner.lock().unwrap();
            partner.is_told |= partner.back_at().is_some_and(|back| Instant::now() < back);
        }));
    }
    let share = now.call(request.last_byte, record);
    let is_down = now.is_down(request.last_byte);
    drop(now);
    if is_down {
        return Reply::Reset;
    }
    record.line_at(request.last_byte, format!("partner: call with {id}, at {share:.2} of its capacity"));
    sleep_ms((WORK_S / share * 1e3) as u64);
    answer(200)
}
