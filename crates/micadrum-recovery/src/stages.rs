//! The order in which service returns, as one state machine.
//!
//! | stage | what happens in it | ends with | at the latest after |
//! | --- | --- | --- | --- |
//! | asking | peers are asked; nobody is served, nothing is sent | the asking's end | `ask_for` |
//! | listing | what has run out, or must fail, gets its final answer; nothing is sent | the first word of this sender's own agent | `list_for` |
//! | finishing | what is owed is sent; the door is shut | no notice is owed and nothing waits for a call | `finish_for` |
//! | admitting | newcomers come in at a rate that grows | the rate's end | `full_after` |
//! | full | as ever | the process's end | |
//!
//! A process that finds its machine as it left it is full at once. Another loss of power in the midst of it is another
//! start, and begins the same way again: nothing of these stages is kept.
use crate::admission::Admission;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long each stage may take, and the rate at which newcomers come in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Asking.
    pub ask_for: Duration,
    /// Listing.
    pub list_for: Duration,
    /// Finishing.
    pub finish_for: Duration,
    /// Admitting.
    pub full_after: Duration,
    /// Newcomers a second at its begin.
    pub newcomers: f64,
}

/// How far service has returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Peers are asked.
    Asking,
    /// The list is waited for.
    Listing,
    /// What is owed is brought to its end.
    Finishing,
    /// Newcomers come in at a rate.
    Admitting,
    /// As ever.
    Full,
}

impl Stage {
    /// What it waits for, in words.
    #[must_use]
    pub fn waits_for(self) -> &'static str {
        match self {
            Self::Asking => "what other senders know",
            Self::Listing => "the list of this sender's own agent",
            Self::Finishing => "what is owed from before",
            Self::Admitting => "nothing: newcomers come in at a rate that grows",
            Self::Full => "nothing",
        }
    }
}

/// Why a stage ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Why {
    /// What it waited for came.
    Done,
    /// Its time was over.
    Late,
}

/// Something happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The asking has ended.
    Asked,
    /// This sender's own agent has said something of the list.
    Listed,
    /// So many messages of before wait for a call or for their notice.
    Left(usize),
    /// Time has passed.
    Timer,
}

/// One stage that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Which.
    pub stage: Stage,
    /// How long it took, in microseconds.
    pub took: u64,
    /// Why it ended.
    pub why: Why,
}

/// Where the return stands.
#[derive(Clone, Debug)]
pub struct Stages {
    settings: Settings,
    stage: Stage,
    since: Duration,
    listed: bool,
    admission: Option<Admission>,
    steps: Vec<Step>,
}

impl Stages {
    /// One that begins to ask now.
    #[must_use]
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self { settings, stage: Stage::Asking, since: now, listed: false, admission: None, steps: Vec::new() }
    }

    /// One that has nothing to return from.
    #[must_use]
    pub fn full(settings: Settings, now: Duration) -> Self {
        Self { stage: Stage::Full, ..Self::new(settings, now) }
    }

    /// The stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Since when.
    #[must_use]
    pub fn since(&self) -> Duration {
        self.since
    }

    /// Those that have ended, in their order.
    #[must_use]
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    fn most(&self) -> Option<Duration> {
        match self.stage {
            Stage::Asking => Some(self.settings.ask_for),
            Stage::Listing => Some(self.settings.list_for),
            Stage::Finishing => Some(self.settings.finish_for),
            Stage::Admitting => Some(self.settings.full_after),
            Stage::Full => None,
        }
    }

    /// When it wants [`Input::Timer`].
    #[must_use]
    pub fn due(&self) -> Option<Duration> {
        self.most().map(|most| self.since + most)
    }

    /// Takes in what happened; whether the stage has changed. `now` never goes back.
    pub fn handle(&mut self, input: Input, now: Duration) -> bool {
        let before = self.stage;
        self.listed |= input == Input::Listed;
        let done = match (self.stage, input) {
            // An asking that ended with its time is late.
            (Stage::Asking, Input::Asked) => self.due().is_some_and(|due| now < due),
            (Stage::Listing, _) => self.listed,
            (Stage::Finishing, Input::Left(0)) => true,
            _ => false,
        };
        if done {
            self.next(Why::Done, now);
            // The list may have come while others were asked.
            if self.stage == Stage::Listing && self.listed {
                self.next(Why::Done, now);
            }
        } else if self.due().is_some_and(|due| due <= now) {
            // The rate at which newcomers come in ends as it should.
            let why = if self.stage == Stage::Admitting { Why::Done } else { Why::Late };
            self.next(why, now);
        }
        before != self.stage
    }

    fn next(&mut self, why: Why, now: Duration) {
        let took = now.saturating_sub(self.since).as_micros() as u64;
        self.steps.push(Step { stage: self.stage, took, why });
        self.since = now;
        self.stage = match self.stage {
            Stage::Asking => Stage::Listing,
            Stage::Listing => Stage::Finishing,
            Stage::Finishing => {
                self.admission = Some(Admission::new(self.settings.newcomers, self.settings.full_after, now));
                Stage::Admitting
            }
            Stage::Admitting | Stage::Full => {
                self.admission = None;
                Stage::Full
            }
        };
    }

    /// Whether what is owed may be sent.
    #[must_use]
    pub fn may_send(&self) -> bool {
        self.stage >= Stage::Finishing
    }

    /// Whether clients may come.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.stage >= Stage::Admitting
    }

    /// Lets a newcomer in, or says when to come again.
    ///
    /// # Errors
    /// How long to wait; at the latest the stage's own end where the door is shut.
    pub fn admit(&mut self, now: Duration) -> Result<(), Duration> {
        match (&mut self.admission, self.stage) {
            (_, Stage::Full) => Ok(()),
            (Some(admission), _) => admission.admit(now),
            (None, _) => Err(self.due().unwrap_or(now).saturating_sub(now)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_chacha::ChaCha8Rng;
    use rand_chacha::rand_core::{RngCore, SeedableRng};

    const fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    const SETTINGS: Settings = Settings {
        ask_for: ms(1000),
        list_for: ms(2000),
        finish_for: ms(3000),
        full_after: ms(5000),
        newcomers: 20.0,
    };

    /// Guards against service that returns in another order, or stays away though nothing is waited for.
    #[test]
    fn each_stage_ends_with_what_it_waits_for() {
        let mut stages = Stages::new(SETTINGS, ms(0));
        assert!(!stages.handle(Input::Left(0), ms(10)), "nothing owed does not end the asking");
        assert!(
            stages.handle(Input::Asked, ms(100)) && stages.stage() == Stage::Listing && !stages.may_send()
        );
        assert!(stages.handle(Input::Listed, ms(200)) && stages.stage() == Stage::Finishing);
        assert!(stages.may_send() && !stages.is_open() && stages.admit(ms(200)) == Err(ms(3000)));
        assert!(!stages.handle(Input::Left(3), ms(300)));
        assert!(
            stages.handle(Input::Left(0), ms(400)) && stages.stage() == Stage::Admitting && stages.is_open()
        );
        assert!(stages.admit(ms(400)).is_ok() && stages.admit(ms(400)).is_err());
        assert!(!stages.handle(Input::Timer, ms(5399)) && stages.handle(Input::Timer, ms(5400)));
        assert_eq!((stages.stage(), stages.due()), (Stage::Full, None));
        assert!((0..100).all(|_| stages.admit(ms(5400)).is_ok()));
        let took: Vec<_> =
            stages.steps().iter().map(|step| (step.stage, step.took / 1000, step.why)).collect();
        let done = Why::Done;
        let expected = [
            (Stage::Asking, 100, done),
            (Stage::Listing, 100, done),
            (Stage::Finishing, 200, done),
            (Stage::Admitting, 5000, done),
        ];
        assert_eq!(took, expected);
    }

    /// Guards against an asking that nobody answered in its time being told as one that was done.
    #[test]
    fn an_asking_that_took_all_its_time_is_late() {
        for (at, why) in [(999, Why::Done), (1000, Why::Late)] {
            let mut stages = Stages::new(SETTINGS, ms(0));
            assert!(stages.handle(Input::Asked, ms(at)));
            assert_eq!((stages.stage(), stages.steps()[0].why), (Stage::Listing, why));
        }
    }

    /// Guards against waiting for a list that came before it was its turn.
    #[test]
    fn a_list_that_came_early_counts() {
        let mut stages = Stages::new(SETTINGS, ms(0));
        assert!(!stages.handle(Input::Listed, ms(10)));
        stages.handle(Input::Asked, ms(20));
        assert_eq!(stages.stage(), Stage::Finishing);
    }

    /// Guards against a sender that stays away for good, whatever does or does not happen: its stages end in their order
    /// and in their times.
    #[test]
    fn whatever_happens_service_is_back_in_time() {
        let most = SETTINGS.ask_for + SETTINGS.list_for + SETTINGS.finish_for + SETTINGS.full_after;
        for seed in 0..2000 {
            let mut chance = ChaCha8Rng::seed_from_u64(seed);
            let mut stages = Stages::new(SETTINGS, ms(0));
            let mut now = ms(0);
            let mut last = stages.stage();
            while stages.stage() != Stage::Full {
                let due = stages.due().unwrap();
                let step = Duration::from_micros(u64::from(chance.next_u32()) % 1_500_000);
                now = if chance.next_u32().is_multiple_of(3) { due } else { (now + step).min(due) };
                let input = match chance.next_u32() % 4 {
                    0 => Input::Asked,
                    1 => Input::Listed,
                    2 => Input::Left(chance.next_u32() as usize % 2),
                    _ => Input::Timer,
                };
                stages.handle(input, now);
                assert!(stages.stage() >= last && now <= most, "seed {seed}");
                assert!(stages.stage() == Stage::Full || stages.due().unwrap() > now, "seed {seed}");
                last = stages.stage();
            }
            let order: Vec<Stage> = stages.steps().iter().map(|step| step.stage).collect();
            assert_eq!(
                order,
                [Stage::Asking, Stage::Listing, Stage::Finishing, Stage::Admitting],
                "seed {seed}"
            );
        }
    }
}
