//! How far connections have come with their requests.
use std::fmt;

/// How far a connection has come with its current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// The response to the last request is written, and no byte of another request was read.
    Idle,
    /// A part of a request's head was read.
    Head,
    /// The head was read, and the body was not read completely.
    Body,
    /// The request was read completely, and has no response yet.
    Processing,
    /// The response was created, and is not written completely.
    Responding,
}

impl fmt::Display for RequestStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body => "body",
            Self::Processing => "processing",
            Self::Responding => "responding",
        })
    }
}

/// The number of open connections at each stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageCounts {
    idle: usize,
    head: usize,
    body: usize,
    processing: usize,
    responding: usize,
}

impl StageCounts {
    /// Counts a connection that is at `stage` from now on.
    pub fn add(&mut self, stage: RequestStage) {
        *self.count_mut(stage) += 1;
    }

    /// Stops counting a connection that was at `stage`.
    pub fn remove(&mut self, stage: RequestStage) {
        *self.count_mut(stage) -= 1;
    }

    fn count_mut(&mut self, stage: RequestStage) -> &mut usize {
        match stage {
            RequestStage::Idle => &mut self.idle,
            RequestStage::Head => &mut self.head,
            RequestStage::Body => &mut self.body,
            RequestStage::Processing => &mut self.processing,
            RequestStage::Responding => &mut self.responding,
        }
    }
}

impl fmt::Display for StageCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { idle, head, body, processing, responding } = self;
        write!(f, "idle={idle} head={head} body={body} processing={processing} responding={responding}")
    }
}
