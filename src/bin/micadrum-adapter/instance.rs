//! One sender of the simulation: its engine, and the numbers of the names on the wire.
use crate::error::AdapterError;
use crate::wire::{self, Input, ListKind, Output, Readiness, Status};
use micadrum::profile::{Names, Profile, look_up};
use micadrum::*;
use std::collections::HashMap;

/// Lists of endpoints by the number of the catalog page that announced them.
pub type CatalogPages = HashMap<u64, Vec<wire::Row>>;

/// The names of the two fields of a load report that the core reads: what is left of the limit, and the limit.
const REMAINING_SHARE_FIELD: &str = "x0";
const LIMIT_FIELD: &str = "x1";

/// A sender.
pub struct Instance {
    engine: DeliveryEngine,
    /// By class: whether its messages keep order.
    ordered: Vec<bool>,
    names: Names,
    endpoint_ids: HashMap<String, EndpointId>,
    endpoint_names: Vec<String>,
    /// The positions of the fields in a load report.
    remaining_share_at: Option<usize>,
    limit_at: Option<usize>,
}

fn outcome(status: Status, detail: Option<f64>) -> Outcome {
    match status {
        Status::Success => Outcome::Success,
        Status::Failure => Outcome::Failure,
        Status::Overloaded => Outcome::Rejected { retry_after: detail.and_then(retry_after) },
        Status::TimedOut => Outcome::TimedOut,
        Status::Unreachable => Outcome::ConnectFailed,
        Status::Broken => Outcome::Reset,
        Status::Withdrawn => Outcome::Cancelled,
        Status::Void => Outcome::NotSent,
    }
}

/// The delay of a rejection, given in milliseconds; 0 or less for none.
fn retry_after(millis: f64) -> Option<TimeDelta> {
    (millis > 0.0).then(|| TimeDelta((millis * 1000.0).ceil() as u64))
}

/// A message that a client submits.
struct Submission {
    job: u32,
    realm: Option<wire::Name>,
    subject: Option<String>,
    service: String,
    time_budget: u64,
    dest: u64,
}

impl Instance {
    /// Starts a sender.
    ///
    /// # Errors
    /// Settings that cannot be understood or acted on.
    pub fn new(seed: u64, profile: &Profile) -> Result<Self, AdapterError> {
        let names = profile.names();
        let settings = profile.settings(&names)?;
        Ok(Self {
            ordered: settings.classes.iter().map(|class| class.ordered).collect(),
            engine: DeliveryEngine::new(settings, seed)?,
            names,
            endpoint_ids: HashMap::new(),
            endpoint_names: Vec::new(),
            remaining_share_at: profile.report_field(REMAINING_SHARE_FIELD),
            limit_at: profile.report_field(LIMIT_FIELD),
        })
    }

    /// Steps the engine; returns its actions, as far as the wire has a form for them.
    pub fn step(&mut self, now: Timestamp, events: &[Event]) -> Vec<Output> {
        let mut actions = Vec::new();
        self.engine.step(now, events, &mut actions);
        actions.into_iter().filter_map(|action| self.output(action)).collect()
    }

    /// Converts an input to an event; returns none for what the core does not need.
    ///
    /// # Errors
    /// A name, page or number that is not known.
    pub fn event(&mut self, input: Input, pages: &CatalogPages) -> Result<Option<Event>, AdapterError> {
        Ok(Some(match input {
            Input::Discovery { kind: ListKind::Broken, .. } => Event::DiscoveryFailed,
            Input::Discovery { kind, page } => {
                let page = page.ok_or(AdapterError::MissingPage)?;
                let entries = self.entries(pages.get(&page).ok_or(AdapterError::UnknownPage(page))?)?;
                match kind {
                    ListKind::Patch => Event::EndpointUpdates(entries),
                    _ => Event::EndpointSnapshot(entries),
                }
            }
            Input::Ask { job, realm, subject, service, time_budget, dest } => {
                let submission = Submission { job, realm, subject, service, time_budget, dest };
                Event::Message(self.message(submission)?)
            }
            Input::ReportBack { job, attempt, result, lag, last, detail, stats } => Event::AttemptEnded {
                message: MessageId(job),
                attempt,
                outcome: outcome(result, detail),
                elapsed: TimeDelta(lag),
                completes: last,
                report: stats.and_then(|fields| self.load_report(&fields)),
            },
            Input::Vanished { job } => Event::Cancelled(MessageId(job)),
            Input::Bell {} => Event::TimerFired,
            Input::Checked { endpoint, result } => Event::HealthCheckEnded {
                endpoint: look_up(&self.endpoint_ids, &endpoint, "endpoint")?,
                outcome: outcome(result, None),
            },
            _ => return Ok(None),
        }))
    }

    fn entries(&mut self, rows: &[wire::Row]) -> Result<Vec<EndpointEntry>, AdapterError> {
        rows.iter().map(|row| self.entry(row)).collect()
    }

    fn entry(&mut self, row: &wire::Row) -> Result<EndpointEntry, AdapterError> {
        Ok(EndpointEntry {
            endpoint: self.endpoint_id(&row.endpoint),
            destination: DestinationId(row.dest),
            kind: look_up(&self.names.kinds, &row.flavor, "kind")?,
            zone: look_up(&self.names.zones, &row.rack_zone, "zone")?,
            state: match row.readiness {
                Readiness::Active => EndpointState::Active,
                Readiness::Leaving => EndpointState::Draining,
                Readiness::Left => EndpointState::Removed,
            },
            capacity_hint: row.power_hint.unwrap_or(0.0),
        })
    }

    fn endpoint_id(&mut self, name: &str) -> EndpointId {
        if let Some(known) = self.endpoint_ids.get(name) {
            return *known;
        }
        let new = EndpointId(self.endpoint_names.len() as u32);
        self.endpoint_names.push(name.to_owned());
        self.endpoint_ids.insert(name.to_owned(), new);
        new
    }

    fn message(&self, submission: Submission) -> Result<Message, AdapterError> {
        let class = look_up(&self.names.classes, &submission.service, "class")?;
        let tenant = match submission.realm {
            Some(wire::Name::Text(name)) => Some(look_up(&self.names.tenants, &name, "tenant")?),
            Some(wire::Name::Number(0)) | None => None,
            Some(wire::Name::Number(number)) => return Err(AdapterError::UnknownTenant(number)),
        };
        let subject = submission.subject.filter(|_| self.ordered[class.0]);
        let key = subject.map(|text| {
            u64::from_str_radix(&text, 16).map(OrderKey).map_err(|_| AdapterError::OrderKey(text))
        });
        Ok(Message {
            id: MessageId(submission.job),
            class,
            tenant,
            key: key.transpose()?,
            destination: DestinationId(submission.dest),
            time_to_live: TimeDelta(submission.time_budget),
        })
    }

    /// Reads the fields of a load report; none where the settings name neither of them, or the report has neither.
    fn load_report(&self, fields: &[f64]) -> Option<LoadReport> {
        let value = |position: Option<usize>| position.and_then(|at| fields.get(at)).copied();
        match (value(self.remaining_share_at), value(self.limit_at)) {
            (None, None) => None,
            (remaining, limit) => Some(LoadReport {
                remaining_share: remaining.unwrap_or(1.0),
                limit_per_second: limit.unwrap_or(0.0),
            }),
        }
    }

    /// Returns none for a forgotten endpoint: on the wire names are never used again.
    fn output(&self, action: Action) -> Option<Output> {
        let name = |endpoint: EndpointId| self.endpoint_names[endpoint.0 as usize].clone();
        Some(match action {
            Action::ForgetEndpoint(_) => return None,
            Action::Send { message, endpoint, expires } => {
                Output::Forward { job: message.0, endpoint: name(endpoint), expire_at: expires.0 }
            }
            Action::Cancel { message, attempt } => Output::StopAttempt { job: message.0, attempt },
            Action::Return { message, .. } => Output::Busy { job: message.0 },
            Action::Fail(message) => Output::Fail { job: message.0 },
            Action::SetTimer(delay) => Output::WakeMe { after: delay.0, mark: "wake" },
            Action::WatchEndpoints => Output::Subscribe { on: true },
            Action::PollEndpoints => Output::ListAll {},
            Action::CheckHealth(endpoint) => Output::SoundOut { endpoint: name(endpoint) },
            Action::CloseIdleConnections(endpoint) => Output::CloseIdle { endpoint: name(endpoint) },
            Action::Log(line) => Output::WriteLog { line },
        })
    }
}
