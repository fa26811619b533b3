//! The configuration that the event loop follows, and what follows from it: settings, names, classes.
use crate::daemon::class_registry::{ClassRegistry, ClassRegistryError, NamedClass, RecoveredClass};
use crate::daemon::config::{Config, ConfigReadError};
use crate::daemon::config_schema::ConfigSchema;
use crate::daemon::endpoint_list::ListedEndpoint;
use crate::daemon::journal::{Journal, JournalError, SubmittedMessage};
use crate::daemon::maintenance::replace_json_file;
use crate::daemon::membership::{self, MembershipConfig, MembershipError};
use crate::daemon::outbound_call::ReportFields;
use crate::daemon::poll_schedule::PollConfig;
use crate::daemon::ports::{Log, Storage};
use crate::profile::{Names, Profile, ProfileError};
use crate::{Settings, SettingsError};
use micadrum_config::ChangeError;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// The classes that messages may belong to, in the state folder: the next process may be given others.
const CLASSES_FILE: &str = "classes.json";
/// The name of that file until it is complete.
const NEW_CLASSES_FILE: &str = "classes.json.new";

/// Why an event loop cannot be set up.
#[derive(Debug, thiserror::Error)]
pub enum EventLoopError {
    /// The platform's settings cannot be translated into the engine's.
    #[error("{0}")]
    Profile(#[from] ProfileError),
    /// The classes contradict each other, or are too many.
    #[error(transparent)]
    Classes(#[from] ClassRegistryError),
    /// The engine does not accept the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The journal cannot be made durable.
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// Why a changed configuration is not applied; everything stays as it was.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReloadError {
    /// The configuration cannot be read.
    #[error(transparent)]
    Unreadable(#[from] ConfigReadError),
    /// The configuration lacks a key that the first one had.
    #[error("{0} is missing")]
    MissingKey(String),
    /// The operator's file changes something that needs a restart.
    #[error(transparent)]
    Operator(#[from] ChangeError),
    /// The operator's list of members cannot be used.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// The numbers of kinds and zones are fixed for the life of a process.
    #[error("kinds and zones cannot change while a sender runs")]
    KindsOrZonesChanged,
    /// The new settings cannot be used.
    #[error(transparent)]
    Invalid(#[from] EventLoopError),
    /// The classes cannot be written down.
    #[error("writing {CLASSES_FILE}: {0}")]
    WriteClasses(#[source] io::Error),
}

/// Why the classes of an earlier process cannot be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadClassesError {
    #[error(transparent)]
    Read(#[from] io::Error),
    #[error(transparent)]
    Parse(#[from] serde_json::Error),
}

/// The configuration in force.
pub(super) struct ActiveConfiguration {
    pub(super) config: Rc<Config>,
    /// The keys that every configuration has to hold.
    schema: ConfigSchema,
    pub(super) settings: Settings,
    pub(super) names: Names,
    pub(super) classes: ClassRegistry,
}

/// A configuration that was found usable and is not in force yet.
pub(super) struct PreparedReload {
    pub(super) settings: Settings,
    pub(super) members: Option<MembershipConfig>,
    names: Names,
    classes: ClassRegistry,
}

impl ActiveConfiguration {
    /// Sets up the first configuration of a process, with the classes that the messages in `journal` need.
    /// `inherited` are the classes that the predecessor handed over.
    ///
    /// # Errors
    /// The settings cannot be used.
    pub(super) fn new(
        config: Rc<Config>,
        schema: ConfigSchema,
        inherited: Vec<NamedClass>,
        journal: &Journal,
        storage: &dyn Storage,
        log: &dyn Log,
    ) -> Result<Self, EventLoopError> {
        let profile = &config.settings;
        let names = profile.names();
        let stored = stored_classes(storage).unwrap_or_else(|error| {
            log.line(&format!(
                "classes: cannot read {CLASSES_FILE}, messages of removed classes are attempted once error={error}"
            ));
            Vec::new()
        });
        // A class that no message belongs to is of no more use.
        let is_used =
            |class: &NamedClass| journal.pending().any(|(_, pending)| pending.message.class == class.0);
        let retired = inherited.into_iter().chain(stored).filter(is_used).collect();
        let configured = profile.classes()?;
        let mut classes = ClassRegistry::new(configured, retired)?;
        for (_, pending) in journal.pending() {
            let recovered = recovered_class(&pending.message);
            if !classes.register_recovered(recovered) {
                let class = &pending.message.class;
                log.line(&format!(
                    "recovery: unknown class, its untried messages are attempted once class={class:?}"
                ));
            }
        }
        let settings = engine_settings(profile, &names, &classes)?;
        Ok(Self { config, schema, settings, names, classes })
    }

    /// Checks a changed configuration, and writes its classes down before a message of a new class can be
    /// submitted.
    ///
    /// # Errors
    /// Why the configuration cannot be applied.
    pub(super) fn prepare(
        &self,
        config: &Config,
        storage: &dyn Storage,
    ) -> Result<PreparedReload, ReloadError> {
        if let Some(key) = config.missing_key(&self.schema) {
            return Err(ReloadError::MissingKey(key));
        }
        let (profile, names) = (&config.settings, config.settings.names());
        self.config.operator.check_reload(&config.operator)?;
        let members = membership::MembershipConfig::from_config(&config.operator)?;
        if names.kinds != self.names.kinds || names.zones != self.names.zones {
            return Err(ReloadError::KindsOrZonesChanged);
        }
        let configured = profile.classes().map_err(EventLoopError::Profile)?;
        let mut classes = self.classes.clone();
        classes.replace_configured(configured).map_err(EventLoopError::Classes)?;
        let settings = engine_settings(profile, &names, &classes)?;
        settings.check().map_err(EventLoopError::Settings)?;
        if classes.named() != self.classes.named() {
            write_classes(storage, &classes).map_err(ReloadError::WriteClasses)?;
        }
        Ok(PreparedReload { settings, members, names, classes })
    }

    /// Puts a prepared configuration in force; true if the engine's settings have changed.
    pub(super) fn apply(&mut self, prepared: PreparedReload) -> bool {
        (self.classes, self.names) = (prepared.classes, prepared.names);
        let has_changed = prepared.settings != self.settings;
        self.settings = prepared.settings;
        has_changed
    }

    /// Writes down what the classes mean, unless the file says so already.
    ///
    /// # Errors
    /// The file cannot be written; it is then as before.
    pub(super) fn store_classes(&self, storage: &dyn Storage) -> io::Result<()> {
        if stored_classes(storage).is_ok_and(|stored| stored == self.classes.named()) {
            return Ok(());
        }
        write_classes(storage, &self.classes)
    }

    /// Returns how many messages a call to an endpoint may carry; `None` if its kind or zone is unknown.
    pub(super) fn max_batch_size(&self, listed: &ListedEndpoint) -> Option<usize> {
        let kind = self.names.kinds.get(&listed.kind)?;
        self.names.zones.get(&listed.zone)?;
        Some(self.settings.kinds[kind.0].max_batch_size.max(1))
    }

    /// Returns the shortest time between two steps of the engine.
    pub(super) fn min_step_interval(&self) -> Duration {
        Duration::from_micros(self.settings.min_step_interval.0)
    }

    /// Returns how long an attempt to connect may take.
    pub(super) fn connect_timeout(&self) -> Duration {
        Duration::from_micros(self.settings.connect_timeout.0)
    }
}

/// Returns the class as a recovered message names it.
pub(super) fn recovered_class(message: &SubmittedMessage) -> RecoveredClass {
    RecoveredClass { name: message.class.clone(), has_idempotency_key: message.idempotency_key.is_some() }
}

/// Translates a profile into the engine's settings, with all classes that there have been.
fn engine_settings(
    profile: &Profile,
    names: &Names,
    classes: &ClassRegistry,
) -> Result<Settings, EventLoopError> {
    let settings = profile.settings(names)?;
    Ok(Settings {
        completion_requires_acknowledgement: true,
        batch_expires_together: true,
        classes: classes.all(),
        ..settings
    })
}

/// Returns the terms on which the endpoint list is polled.
pub(super) fn poll_config(settings: &Settings) -> PollConfig {
    let Settings { fleet_size, discovery, rules, .. } = settings;
    PollConfig {
        fleet_size: *fleet_size,
        discovery: *discovery,
        drain_grace: Duration::from_micros(rules.drain_grace.0),
        staleness_limit: Duration::from_micros(rules.discovery_staleness_limit.0),
    }
}

/// Returns how long an idle connection stays open at its endpoint.
pub(super) fn idle_timeout(profile: &Profile) -> Duration {
    Duration::from_micros(profile.connection_idle_timeout().0)
}

/// Returns which fields load reports carry.
pub(super) fn report_fields(profile: &Profile) -> ReportFields {
    let has = |name| profile.report_field(name).is_some();
    ReportFields { remaining_share: has("x0"), limit: has("x1") }
}

fn stored_classes(storage: &dyn Storage) -> Result<Vec<NamedClass>, ReadClassesError> {
    match storage.read(CLASSES_FILE)? {
        Some(bytes) => Ok(serde_json::from_slice(&bytes)?),
        None => Ok(Vec::new()),
    }
}

fn write_classes(storage: &dyn Storage, classes: &ClassRegistry) -> io::Result<()> {
    replace_json_file(storage, CLASSES_FILE, NEW_CLASSES_FILE, &classes.named())
}
