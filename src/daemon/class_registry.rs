//! The classes of messages over changes of the settings. Free of I/O and clocks.
//!
//! A class keeps its number for the life of the process: messages in flight keep their class, also when the
//! settings no longer name the class or give its name another meaning.
//!
//! A recovered message states its class by name, and may have been accepted under any meaning that the name
//! has had: the strictest of these applies. A message whose class is unknown is sent once, as nobody knows
//! what a retry would do, and in the order of its key.
use crate::{Class, ClassId, DeduplicationScope, Idempotency, TimeDelta};
use std::collections::{BTreeMap, HashMap};

/// How many classes there may be over the life of a process.
const MAX_CLASSES: usize = 1024;

/// A class with its name.
pub type NamedClass = (String, Class);

/// Why classes cannot be registered; the registry stays as it was.
#[derive(Debug, thiserror::Error)]
pub enum ClassRegistryError {
    /// There have been too many classes.
    #[error("class {0:?}: there have been {MAX_CLASSES} classes since the start")]
    TooMany(String),
    /// Two classes have one name.
    #[error("class {0:?} is named twice")]
    Duplicate(String),
}

/// A class as a recovered message names it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecoveredClass {
    /// The name of the class.
    pub name: String,
    /// Whether the message has an idempotency key.
    pub has_idempotency_key: bool,
}

/// All classes that there have been in this process.
#[derive(Clone)]
pub struct ClassRegistry {
    /// All classes, by number.
    classes: Vec<NamedClass>,
    /// The classes in the settings, by name.
    current: HashMap<String, ClassId>,
    /// The classes of recovered messages.
    recovered: BTreeMap<RecoveredClass, ClassId>,
}

/// Ranks a class by what may be done with a message that may have run: the higher the rank, the less.
fn strictness(class: &Class) -> (u8, u64) {
    match class.idempotency {
        Idempotency::Idempotent => (0, 0),
        Idempotency::WithKey { scope: DeduplicationScope::Destination, window } => (1, u64::MAX - window.0),
        Idempotency::WithKey { scope: DeduplicationScope::Zone, window } => (2, u64::MAX - window.0),
        Idempotency::NonIdempotent => (3, 0),
    }
}

impl ClassRegistry {
    /// Registers the classes in the settings, and those that recovered messages may belong to.
    ///
    /// # Errors
    /// A name is used twice, or there are too many classes.
    pub fn new(configured: Vec<NamedClass>, retired: Vec<NamedClass>) -> Result<Self, ClassRegistryError> {
        let mut registry = Self { classes: retired, current: HashMap::new(), recovered: BTreeMap::new() };
        registry.replace_configured(configured)?;
        Ok(registry)
    }

    /// Replaces the classes in the settings.
    ///
    /// # Errors
    /// A name is used twice, or there are too many classes; nothing has changed then.
    pub fn replace_configured(&mut self, configured: Vec<NamedClass>) -> Result<(), ClassRegistryError> {
        let count_before = self.classes.len();
        let mut current = HashMap::new();
        for class in configured {
            let name = class.0.clone();
            let id = self.register(class);
            if current.insert(name.clone(), id).is_some() || self.classes.len() > MAX_CLASSES {
                self.classes.truncate(count_before);
                return Err(match self.classes.len() >= MAX_CLASSES {
                    true => ClassRegistryError::TooMany(name),
                    false => ClassRegistryError::Duplicate(name),
                });
            }
        }
        self.current = current;
        Ok(())
    }

    /// Returns the number of a class, and assigns one to a new class.
    fn register(&mut self, class: NamedClass) -> ClassId {
        let position = self.classes.iter().position(|known| *known == class);
        ClassId(position.unwrap_or_else(|| {
            self.classes.push(class);
            self.classes.len() - 1
        }))
    }

    /// Returns all classes, by number.
    pub fn all(&self) -> Vec<Class> {
        self.classes.iter().map(|(_, class)| class.clone()).collect()
    }

    /// Returns all classes with their names, by number.
    pub fn named(&self) -> &[NamedClass] {
        &self.classes
    }

    /// Returns the names of the classes in the settings.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.current.keys().map(String::as_str)
    }

    /// Returns the class in the settings that a new message names.
    pub fn current(&self, name: &str) -> Option<ClassId> {
        self.current.get(name).copied()
    }

    /// Registers a class that recovered messages name; false if nothing is known of the class.
    pub fn register_recovered(&mut self, recovered: RecoveredClass) -> bool {
        if self.recovered.contains_key(&recovered) {
            return true;
        }
        let RecoveredClass { name, has_idempotency_key } = &recovered;
        let meanings = || self.classes.iter().filter(|known| known.0 == *name).map(|known| &known.1);
        let strictest = meanings().max_by_key(|class| strictness(class)).cloned();
        let is_known = strictest.is_some();
        let mut class = strictest.unwrap_or_else(|| self.unknown_class());
        class.ordered |= meanings().any(|class| class.ordered);
        if matches!(class.idempotency, Idempotency::WithKey { .. }) && !has_idempotency_key {
            // The message was accepted under a meaning that asked for no key: a retry could not be
            // recognized.
            class.idempotency = Idempotency::NonIdempotent;
        }
        let id = self.register((name.clone(), class));
        self.recovered.insert(recovered, id);
        is_known
    }

    /// Returns a class for messages of which nothing is known: no promise towards them may be broken, and
    /// they take nothing from others.
    fn unknown_class(&self) -> Class {
        let classes = || self.classes.iter().map(|(_, class)| class);
        let lowest =
            |weight: fn(&Class) -> f64| classes().map(weight).min_by(f64::total_cmp).unwrap_or_default();
        Class {
            latency_objective: classes().map(|class| class.latency_objective).max().unwrap_or(TimeDelta(1)),
            deadline: classes().map(|class| class.deadline).max().unwrap_or(TimeDelta(1)),
            priority_weight: lowest(|class| class.priority_weight),
            late_weight: lowest(|class| class.late_weight),
            idempotency: Idempotency::NonIdempotent,
            ordered: true,
        }
    }

    /// Returns the class of a recovered message that [`ClassRegistry::register_recovered`] was called for.
    pub fn recovered(&self, recovered: &RecoveredClass) -> Option<ClassId> {
        self.recovered.get(recovered).copied()
    }
}

#[cfg(test)]
mod tests;
