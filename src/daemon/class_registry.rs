//! The classes of messages over changes of the settings. Free of I/O and clocks.
//!
//! A class keeps its number for the life of the process: messages that are under way keep their class, also when the
//! settings no longer name it or give its name another meaning.
//!
//! A message of an earlier process tells its class by name, and may have been taken on under any meaning that the name has
//! had: it goes by what is strictest in all of them. Of a name of which nothing is known it is sent once, as nobody knows
//! what a repeat would do, and in the order of its key.
use crate::{Class, ClassId, DeduplicationScope, Idempotency, TimeDelta};
use std::collections::{BTreeMap, HashMap};

/// So many at the most over the life of a process.
const MOST: usize = 1024;

/// A class with its name.
pub type NamedClass = (String, Class);

/// All that there have been.
#[derive(Clone)]
pub struct ClassRegistry {
    known: Vec<NamedClass>,
    current: HashMap<String, ClassId>,
    /// Those of messages of earlier processes, by name and by whether an idempotency key came with them.
    earlier: BTreeMap<(String, bool), ClassId>,
}

/// How little may be done with a message of a class that may have run: the more, the stricter.
fn strictness(class: &Class) -> (u8, u64) {
    match class.idempotency {
        Idempotency::Idempotent => (0, 0),
        Idempotency::WithKey { scope: DeduplicationScope::Destination, window } => (1, u64::MAX - window.0),
        Idempotency::WithKey { scope: DeduplicationScope::Zone, window } => (2, u64::MAX - window.0),
        Idempotency::NonIdempotent => (3, 0),
    }
}

impl ClassRegistry {
    /// Those that the settings name, and those that messages of earlier processes may still be of.
    ///
    /// # Errors
    /// A name that stands there twice, or too many.
    pub fn new(named: Vec<NamedClass>, retired: Vec<NamedClass>) -> Result<Self, String> {
        let mut classes = Self { known: retired, current: HashMap::new(), earlier: BTreeMap::new() };
        classes.change(named)?;
        Ok(classes)
    }

    /// From now on the settings name these.
    ///
    /// # Errors
    /// A name that stands there twice, or too many; nothing has changed then.
    pub fn change(&mut self, named: Vec<NamedClass>) -> Result<(), String> {
        let before = self.known.len();
        let mut current = HashMap::new();
        for named in named {
            let name = named.0.clone();
            let number = self.known.iter().position(|known| *known == named).unwrap_or_else(|| {
                self.known.push(named);
                self.known.len() - 1
            });
            if current.insert(name.clone(), ClassId(number)).is_some() || self.known.len() > MOST {
                self.known.truncate(before);
                return Err(match self.known.len() >= MOST {
                    true => format!("class {name:?}: there have been {MOST} classes since the start"),
                    false => format!("class {name:?} is named twice"),
                });
            }
        }
        self.current = current;
        Ok(())
    }

    /// All, by number.
    pub fn all(&self) -> Vec<Class> {
        self.known.iter().map(|(_, class)| class.clone()).collect()
    }

    /// The same with their names.
    pub fn named(&self) -> &[NamedClass] {
        &self.known
    }

    /// Names that the settings use now.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.current.keys().map(String::as_str)
    }

    /// The class that a newcomer names.
    pub fn of_newcomer(&self, name: &str) -> Option<ClassId> {
        self.current.get(name).copied()
    }

    /// Makes room for a message of an earlier process that names such a class, with an idempotency key or without one;
    /// false if nothing is known of it.
    pub fn take_up(&mut self, name: &str, keyed: bool) -> bool {
        if self.earlier.contains_key(&(name.to_owned(), keyed)) {
            return true;
        }
        let of_name = || self.known.iter().filter(|known| known.0 == name).map(|known| &known.1);
        let meant = of_name().max_by_key(|class| strictness(class)).cloned();
        let is_known = meant.is_some();
        let mut class = meant.unwrap_or_else(|| self.unknown());
        class.ordered |= of_name().any(|class| class.ordered);
        if matches!(class.idempotency, Idempotency::WithKey { .. }) && !keyed {
            // Taken on under a meaning that asked for no key: nothing would tell a repeat.
            class.idempotency = Idempotency::NonIdempotent;
        }
        let named = (name.to_owned(), class);
        let number = self.known.iter().position(|known| *known == named).unwrap_or_else(|| {
            self.known.push(named);
            self.known.len() - 1
        });
        self.earlier.insert((name.to_owned(), keyed), ClassId(number));
        is_known
    }

    /// A class of which nothing is known: no promise of it may be broken, and it takes nothing from others.
    fn unknown(&self) -> Class {
        let classes = || self.known.iter().map(|(_, class)| class);
        let least =
            |worth: fn(&Class) -> f64| classes().map(worth).min_by(f64::total_cmp).unwrap_or_default();
        Class {
            latency_objective: classes().map(|class| class.latency_objective).max().unwrap_or(TimeDelta(1)),
            deadline: classes().map(|class| class.deadline).max().unwrap_or(TimeDelta(1)),
            priority_weight: least(|class| class.priority_weight),
            late_weight: least(|class| class.late_weight),
            idempotency: Idempotency::NonIdempotent,
            ordered: true,
        }
    }

    /// The class of a message of an earlier process for which room was made.
    pub fn of_earlier(&self, name: &str, keyed: bool) -> Option<ClassId> {
        self.earlier.get(&(name.to_owned(), keyed)).copied()
    }
}

#[cfg(test)]
mod tests;
