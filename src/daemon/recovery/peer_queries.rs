//! Asks the peers, over links, what they know.
use crate::daemon::membership::Handle;
use crate::daemon::ports::Ports;
use micadrum_config::Peers;
use micadrum_membership::LocalStatus;
use micadrum_recovery::peer_query::{Candidate, Ended};
use micadrum_recovery::{PeerQuery, PeerReport};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use serde::Serialize;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Between two looks how this sender stands among its peers.
const LOOK: Duration = Duration::from_millis(20);

/// Who was asked, and what came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Asked {
    /// How many answered.
    pub answered: usize,
    /// Of them, those that never stopped.
    pub steady: usize,
    /// How many did not.
    pub silent: usize,
    /// How long it took, in microseconds.
    pub took: u64,
    /// Whether it ended with its time.
    pub late: bool,
}

/// One word, as it was heard.
pub struct Heard {
    word: PeerReport,
    /// How long ago.
    ago: Duration,
    /// The wall clock here then, microseconds.
    here: u64,
}

impl Heard {
    /// Their wall clock and that of this machine at one moment; only of those that never stopped.
    pub fn clocks(&self) -> Option<(u64, u64)> {
        self.word.steady_for.map(|_| (self.word.wall, self.here))
    }

    /// What was said, and how long ago.
    pub fn word(&self) -> (PeerReport, Duration) {
        (self.word.clone(), self.ago)
    }
}

/// Waits until most know this sender's life; the life that others knew of it, if its folder did not.
pub async fn lives(peers: &Handle, until: Instant) -> Option<u64> {
    let views = peers.views();
    loop {
        if let Some(view) = views.now() {
            if view.lost_state {
                // It went past the one that they knew.
                return Some(view.incarnation.number.saturating_sub(1));
            }
            if !matches!(
                view.local_status,
                LocalStatus::PersistingIncarnation | LocalStatus::ConfirmingIncarnation
            ) {
                return None;
            }
        }
        let now = Instant::now();
        if now >= until {
            return None;
        }
        sleep(LOOK.min(until - now)).await;
    }
}

/// Asks some of them, until `until` at the latest.
pub async fn words(peers: &Handle, members: &Peers, ports: &Ports, until: Instant) -> (Vec<Heard>, Asked) {
    let begun = Instant::now();
    let mut chance = ChaCha8Rng::from_seed(ports.entropy);
    // Another stream than those of the peers' own.
    chance.set_stream(2);
    let others = members.members.values().filter(|member| member.name != members.own_name);
    let mut candidates: Vec<(u64, Candidate)> = others
        .map(|member| Candidate { name: member.name.clone(), building: member.zone.clone() })
        .map(|candidate| (chance.next_u64(), candidate))
        .collect();
    candidates.sort_by_key(|(place, _)| *place);
    let own = members.members.get(&members.own_name).map_or("", |member| &member.zone);
    let now = || begun.elapsed();
    let mut asking = PeerQuery::new(
        candidates.into_iter().map(|(_, candidate)| candidate),
        own,
        until.saturating_duration_since(begun),
    );
    let (said, mut answers) = unbounded_channel();
    let mut asks = JoinSet::new();
    let ended = loop {
        while let Some(name) = asking.next_to_ask(now()) {
            let (asker, said) = (peers.report_query(), said.clone());
            asks.spawn_local(async move {
                let word = asker.report_of(&name).await;
                let _ = said.send((name, word));
            });
        }
        if let Some(ended) = asking.ended(now()) {
            break ended;
        }
        tokio::select! {
            biased;
            Some((name, word)) = answers.recv() => asking.answered(&name, word, now()),
            () = sleep_until(begun + asking.due()) => {}
        }
    };
    let wall = ports.wall.now().as_micros() as u64;
    let heard = |(word, ago): (PeerReport, Duration)| Heard {
        word,
        ago,
        here: wall.saturating_sub(ago.as_micros() as u64),
    };
    let (answered, steady, silent) = asking.counts();
    let took = now().as_micros() as u64;
    let asked = Asked { answered, steady, silent, took, late: ended == Ended::Late };
    (asking.words(now()).into_iter().map(heard).collect(), asked)
}
