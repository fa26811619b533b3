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
pub enum RecoveryPhase {
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

impl RecoveryPhase {
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
    pub stage: RecoveryPhase,
    /// How long it took, in microseconds.
    pub took: u64,
    /// Why it ended.
    pub why: Why,
}

/// Where the return stands.
#[derive(Clone, Debug)]
pub struct Phases {
    settings: Settings,
    stage: RecoveryPhase,
    since: Duration,
    listed: bool,
    admission: Option<Admission>,
    steps: Vec<Step>,
}

impl Phases {
    /// One that begins to ask now.
    #[must_use]
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            settings,
            stage: RecoveryPhase::Asking,
            since: now,
            listed: false,
            admission: None,
            steps: Vec::new(),
        }
    }

    /// One that has nothing to return from.
    #[must_use]
    pub fn full(settings: Settings, now: Duration) -> Self {
        Self { stage: RecoveryPhase::Full, ..Self::new(settings, now) }
    }

    /// The stage.
    #[must_use]
    pub fn stage(&self) -> RecoveryPhase {
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
            RecoveryPhase::Asking => Some(self.settings.ask_for),
            RecoveryPhase::Listing => Some(self.settings.list_for),
            RecoveryPhase::Finishing => Some(self.settings.finish_for),
            RecoveryPhase::Admitting => Some(self.settings.full_after),
            RecoveryPhase::Full => None,
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
            (RecoveryPhase::Asking, Input::Asked) => self.due().is_some_and(|due| now < due),
            (RecoveryPhase::Listing, _) => self.listed,
            (RecoveryPhase::Finishing, Input::Left(0)) => true,
            _ => false,
        };
        if done {
            self.next(Why::Done, now);
            // The list may have come while others were asked.
            if self.stage == RecoveryPhase::Listing && self.listed {
                self.next(Why::Done, now);
            }
        } else if self.due().is_some_and(|due| due <= now) {
            // The rate at which newcomers come in ends as it should.
            let why = if self.stage == RecoveryPhase::Admitting { Why::Done } else { Why::Late };
            self.next(why, now);
        }
        before != self.stage
    }

    fn next(&mut self, why: Why, now: Duration) {
        let took = now.saturating_sub(self.since).as_micros() as u64;
        self.steps.push(Step { stage: self.stage, took, why });
        self.since = now;
        self.stage = match self.stage {
            RecoveryPhase::Asking => RecoveryPhase::Listing,
            RecoveryPhase::Listing => RecoveryPhase::Finishing,
            RecoveryPhase::Finishing => {
                self.admission = Some(Admission::new(self.settings.newcomers, self.settings.full_after, now));
                RecoveryPhase::Admitting
            }
            RecoveryPhase::Admitting | RecoveryPhase::Full => {
                self.admission = None;
                RecoveryPhase::Full
            }
        };
    }

    /// Whether what is owed may be sent.
    #[must_use]
    pub fn may_send(&self) -> bool {
        self.stage >= RecoveryPhase::Finishing
    }

    /// Whether clients may come.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.stage >= RecoveryPhase::Admitting
    }

    /// Lets a newcomer in, or says when to come again.
    ///
    /// # Errors
    /// How long to wait; at the latest the stage's own end where the door is shut.
    pub fn admit(&mut self, now: Duration) -> Result<(), Duration> {
        match (&mut self.admission, self.stage) {
            (_, RecoveryPhase::Full) => Ok(()),
            (Some(admission), _) => admission.admit(now),
            (None, _) => Err(self.due().unwrap_or(now).saturating_sub(now)),
        }
    }
}

#[cfg(test)]
mod tests;
