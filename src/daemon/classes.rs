//! The classes of messages over changes of the settings. Free of I/O and clocks.
//!
//! A class keeps its number for the life of the process: messages that are under way keep their class, also when the
//! settings no longer name it or give its name another meaning.
//!
//! A message of an earlier process tells its class by name, and may have been taken on under any meaning that the name has
//! had: it goes by what is strictest in all of them. Of a name of which nothing is known it is sent once, as nobody knows
//! what a repeat would do, and in the order of its key.
use crate::{Class, ClassId, Group, Repeat, Span};
use std::collections::{BTreeMap, HashMap};

/// So many at the most over the life of a process.
const MOST: usize = 1024;

/// A class with its name.
pub type Named = (String, Class);

/// All that there have been.
#[derive(Clone)]
pub struct Classes {
    known: Vec<Named>,
    current: HashMap<String, ClassId>,
    /// Those of messages of earlier processes, by name and by whether an idempotency key came with them.
    earlier: BTreeMap<(String, bool), ClassId>,
}

/// How little may be done with a message of a class that may have run: the more, the stricter.
fn strictness(class: &Class) -> (u8, u64) {
    match class.repeat {
        Repeat::Safe => (0, 0),
        Repeat::Keyed { group: Group::All, window } => (1, u64::MAX - window.0),
        Repeat::Keyed { group: Group::Zone, window } => (2, u64::MAX - window.0),
        Repeat::Unsafe => (3, 0),
    }
}

impl Classes {
    /// Those that the settings name, and those that messages of earlier processes may still be of.
    ///
    /// # Errors
    /// A name that stands there twice, or too many.
    pub fn new(named: Vec<Named>, retired: Vec<Named>) -> Result<Self, String> {
        let mut classes = Self { known: retired, current: HashMap::new(), earlier: BTreeMap::new() };
        classes.change(named)?;
        Ok(classes)
    }

    /// From now on the settings name these.
    ///
    /// # Errors
    /// A name that stands there twice, or too many; nothing has changed then.
    pub fn change(&mut self, named: Vec<Named>) -> Result<(), String> {
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
    pub fn named(&self) -> &[Named] {
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
        if matches!(class.repeat, Repeat::Keyed { .. }) && !keyed {
            // Taken on under a meaning that asked for no key: nothing would tell a repeat.
            class.repeat = Repeat::Unsafe;
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
            aim: classes().map(|class| class.aim).max().unwrap_or(Span(1)),
            deadline: classes().map(|class| class.deadline).max().unwrap_or(Span(1)),
            worth: least(|class| class.worth),
            late_worth: least(|class| class.late_worth),
            repeat: Repeat::Unsafe,
            ordered: true,
        }
    }

    /// The class of a message of an earlier process for which room was made.
    pub fn of_earlier(&self, name: &str, keyed: bool) -> Option<ClassId> {
        self.earlier.get(&(name.to_owned(), keyed)).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Span;

    fn class(name: &str, repeat: Repeat) -> Named {
        let (aim, deadline) = (Span(1), Span(2));
        (name.to_owned(), Class { aim, deadline, worth: 1.0, late_worth: 0.3, repeat, ordered: false })
    }

    /// Guards against messages that change their class as it is renamed, vanishes or comes back, and against one of an
    /// earlier process that is repeated by a milder meaning of its class's name.
    #[test]
    fn numbers_stay_and_the_strictest_meaning_binds_what_is_older() {
        let (safe, strict) = (class("a", Repeat::Safe), class("a", Repeat::Unsafe));
        let b = class("b", Repeat::Safe);
        let mut classes = Classes::new(vec![safe.clone(), b.clone()], Vec::new()).unwrap();
        classes.change(vec![strict.clone()]).unwrap();
        assert_eq!((classes.of_newcomer("a"), classes.of_newcomer("b")), (Some(ClassId(2)), None));
        assert!(classes.take_up("b", false));
        assert_eq!(classes.of_earlier("b", false), Some(ClassId(1)));
        assert_eq!(classes.named(), [safe.clone(), b.clone(), strict.clone()]);
        classes.change(vec![b.clone(), safe.clone()]).unwrap();
        assert!(classes.take_up("a", true));
        assert_eq!(
            (classes.of_newcomer("a"), classes.of_earlier("a", true)),
            (Some(ClassId(0)), Some(ClassId(2)))
        );
        assert_eq!(classes.named(), [safe.clone(), b.clone(), strict.clone()], "all meanings stay");
        assert!(classes.change(vec![b.clone(), class("c", Repeat::Safe), b.clone()]).is_err());
        assert_eq!((classes.all().len(), classes.of_newcomer("a")), (3, Some(ClassId(0))), "as before");
        let mut next = Classes::new(vec![safe], vec![strict]).unwrap();
        assert!(next.take_up("a", true));
        assert_eq!(next.of_earlier("a", true), Some(ClassId(0)));
        assert_eq!(next.all()[0].repeat, Repeat::Unsafe);
    }

    /// Guards against a message of before that is never tried as its class has gone or now wants a key that it does not
    /// have, and against an order that is lost as the strictest meaning of its effect asked for none.
    #[test]
    fn a_message_of_before_has_a_class_whatever_the_settings_have_become() {
        let keyed = Repeat::Keyed { group: Group::All, window: Span(5) };
        let in_order = |named: Named| (named.0, Class { ordered: true, ..named.1 });
        let retired = vec![in_order(class("a", Repeat::Safe))];
        let mut classes = Classes::new(vec![class("a", keyed), class("b", Repeat::Safe)], retired).unwrap();
        assert!(classes.take_up("a", true) && classes.take_up("a", false) && classes.take_up("b", false));
        assert!(!classes.take_up("gone", true), "nothing is known of it");
        let of = |name, with_key| classes.all()[classes.of_earlier(name, with_key).unwrap().0].clone();
        assert_eq!((of("a", true).repeat, of("a", true).ordered), (keyed, true));
        assert_eq!((of("a", false).repeat, of("a", false).ordered), (Repeat::Unsafe, true));
        assert_eq!(classes.of_earlier("b", false), classes.of_newcomer("b"));
        assert_eq!((of("gone", true).repeat, of("gone", true).ordered), (Repeat::Unsafe, true));
        assert_eq!(classes.of_newcomer("gone"), None);
    }
}
