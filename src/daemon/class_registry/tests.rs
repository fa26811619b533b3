use super::*;
use crate::TimeDelta;

fn class(name: &str, idempotency: Idempotency) -> NamedClass {
    (
        name.to_owned(),
        Class {
            latency_objective: TimeDelta(1),
            deadline: TimeDelta(2),
            priority_weight: 1.0,
            late_weight: 0.3,
            idempotency,
            ordered: false,
        },
    )
}

fn recovered(name: &str, has_idempotency_key: bool) -> RecoveredClass {
    RecoveredClass { name: name.to_owned(), has_idempotency_key }
}

/// Guards against a class ID that changes when the settings redefine, remove or restore the class, and
/// against a recovered message that is retried under a less strict definition of its class.
#[test]
fn class_ids_are_stable_and_recovered_messages_get_the_strictest_definition() {
    let (safe, strict) = (class("a", Idempotency::Idempotent), class("a", Idempotency::NonIdempotent));
    let b = class("b", Idempotency::Idempotent);
    let mut classes = ClassRegistry::new(vec![safe.clone(), b.clone()], Vec::new()).unwrap();
    classes.replace_configured(vec![strict.clone()]).unwrap();
    assert_eq!((classes.current("a"), classes.current("b")), (Some(ClassId(2)), None));
    assert!(classes.register_recovered(recovered("b", false)));
    assert_eq!(classes.recovered(&recovered("b", false)), Some(ClassId(1)));
    assert_eq!(classes.named(), [safe.clone(), b.clone(), strict.clone()]);
    classes.replace_configured(vec![b.clone(), safe.clone()]).unwrap();
    assert!(classes.register_recovered(recovered("a", true)));
    assert_eq!(
        (classes.current("a"), classes.recovered(&recovered("a", true))),
        (Some(ClassId(0)), Some(ClassId(2)))
    );
    assert_eq!(classes.named(), [safe.clone(), b.clone(), strict.clone()], "all definitions are kept");
    assert!(
        classes.replace_configured(vec![b.clone(), class("c", Idempotency::Idempotent), b.clone()]).is_err()
    );
    assert_eq!(
        (classes.all().len(), classes.current("a")),
        (3, Some(ClassId(0))),
        "a rejected change has no effect"
    );
    let mut next = ClassRegistry::new(vec![safe], vec![strict]).unwrap();
    assert!(next.register_recovered(recovered("a", true)));
    assert_eq!(next.recovered(&recovered("a", true)), Some(ClassId(0)));
    assert_eq!(next.all()[0].idempotency, Idempotency::NonIdempotent);
}

/// Guards against a recovered message that is never attempted because its class was removed or now requires a
/// key, and against losing the order of messages with the same ordering key.
#[test]
fn recovered_messages_have_a_class_under_any_settings() {
    let keyed = Idempotency::WithKey { scope: DeduplicationScope::Destination, window: TimeDelta(5) };
    let ordered = |named: NamedClass| (named.0, Class { ordered: true, ..named.1 });
    let retired = vec![ordered(class("a", Idempotency::Idempotent))];
    let mut classes =
        ClassRegistry::new(vec![class("a", keyed), class("b", Idempotency::Idempotent)], retired).unwrap();
    assert!(
        classes.register_recovered(recovered("a", true))
            && classes.register_recovered(recovered("a", false))
            && classes.register_recovered(recovered("b", false))
    );
    assert!(!classes.register_recovered(recovered("gone", true)), "the class is unknown");
    let class_of = |name, with_key: bool| {
        classes.all()[classes.recovered(&recovered(name, with_key)).unwrap().0].clone()
    };
    assert_eq!((class_of("a", true).idempotency, class_of("a", true).ordered), (keyed, true));
    assert_eq!(
        (class_of("a", false).idempotency, class_of("a", false).ordered),
        (Idempotency::NonIdempotent, true)
    );
    assert_eq!(classes.recovered(&recovered("b", false)), classes.current("b"));
    assert_eq!(
        (class_of("gone", true).idempotency, class_of("gone", true).ordered),
        (Idempotency::NonIdempotent, true)
    );
    assert_eq!(classes.current("gone"), None);
}

/// A definition of class "a" that differs with `version`.
fn version(version: u64) -> NamedClass {
    let (name, class) = class("a", Idempotency::Idempotent);
    (name, Class { deadline: TimeDelta(2 + version), ..class })
}

/// Guards against definitions that accumulate with each handover, until no process can start (review/6).
#[test]
fn handovers_and_restarts_do_not_add_definitions() {
    let keyed = Idempotency::WithKey { scope: DeduplicationScope::Destination, window: TimeDelta(5) };
    let configured = vec![class("a", keyed), class("b", Idempotency::Idempotent)];
    let mut known = ClassRegistry::new(configured.clone(), Vec::new()).unwrap();
    for handover in 0..2 * MAX_CLASSES as u64 {
        // The predecessor hands its classes over, and the same classes are in the state folder.
        let retired = [known.named(), known.named()].concat();
        let mut configured = configured.clone();
        configured.push(version(handover));
        configured.remove(0);
        known = ClassRegistry::new(configured, retired).unwrap();
        assert!(known.register_recovered(recovered("a", true)));
        assert!(known.register_recovered(recovered("a", false)));
        assert!(known.named().len() <= 4, "handover {handover}: {:?}", known.named());
    }
    let class = known.recovered(&recovered("a", true)).unwrap();
    assert_eq!(known.all()[class.0].idempotency, Idempotency::NonIdempotent);
}

/// Guards against reloads that are rejected because earlier ones have used up the class IDs, and against a
/// reused ID that a message still has.
#[test]
fn reloads_reuse_the_ids_of_classes_without_messages() {
    let mut classes = ClassRegistry::new(vec![version(0)], Vec::new()).unwrap();
    let first = classes.current("a").unwrap();
    for reload in 1..3 * MAX_CLASSES as u64 {
        classes.release_unused(&BTreeSet::from([first]));
        classes.replace_configured(vec![version(reload)]).unwrap();
        let current = classes.current("a").unwrap();
        assert_eq!(classes.named()[current.0], version(reload));
        assert_eq!(classes.named()[first.0], version(0));
    }
    assert!(classes.named().len() <= 3);
    // The definitions of messages are kept, and a change beyond the maximum has no effect.
    let mut full = ClassRegistry::new(vec![version(0)], Vec::new()).unwrap();
    let in_use: BTreeSet<ClassId> = (0..MAX_CLASSES).map(ClassId).collect();
    for reload in 1..MAX_CLASSES as u64 {
        full.release_unused(&in_use);
        full.replace_configured(vec![version(reload)]).unwrap();
    }
    full.release_unused(&in_use);
    assert!(matches!(full.replace_configured(vec![version(5000)]), Err(ClassRegistryError::TooMany(_))));
    assert_eq!(full.named()[full.current("a").unwrap().0], version(MAX_CLASSES as u64 - 1));
}
