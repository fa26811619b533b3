//! Links: frames cut anywhere, changed, repeated; strangers; a side that falls silent; one that does not keep up.
use crate::simulated_fleet::*;
use micadrum_membership::*;
use std::time::Duration;

const LIFE: Incarnation = Incarnation { number: 3, run: 9 };

struct Ends {
    dialer: Link,
    acceptor: Link,
}

fn ends() -> Ends {
    let world = World::new(3, 1);
    let to = MemberId::of("n1");
    Ends {
        dialer: Link::dial(secret(0), world.roster(0), LIFE, to, [1; 16], Duration::ZERO),
        acceptor: Link::accept(secret(1), world.roster(1), LIFE, [2; 16], Duration::ZERO),
    }
}

fn drain(link: &mut Link) -> Vec<u8> {
    std::iter::from_fn(|| link.poll_transmit()).flatten().collect()
}

fn events(link: &mut Link) -> Vec<LinkEvent> {
    std::iter::from_fn(|| link.poll_event()).collect()
}

/// Passes on all that both have to say, in pieces of `size`.
fn talk(ends: &mut Ends, size: usize) -> Result<(), LinkError> {
    loop {
        let (there, back) = (drain(&mut ends.dialer), drain(&mut ends.acceptor));
        if there.is_empty() && back.is_empty() {
            return Ok(());
        }
        for piece in there.chunks(size) {
            ends.acceptor.received(piece, ms(1))?;
        }
        for piece in back.chunks(size) {
            ends.dialer.received(piece, ms(1))?;
        }
    }
}

/// Guards against a frame that is taken in parts, and against a payload that is lost where a read ends within it.
#[test]
fn payloads_come_whole_and_in_order_however_the_stream_is_cut() {
    for size in [1, 2, 3, 7, 64, 1000, 100_000] {
        let mut ends = ends();
        let payloads: Vec<Vec<u8>> = (0..20u8).map(|n| vec![n; n as usize * 50]).collect();
        for payload in &payloads {
            ends.dialer.send(payload.clone()).unwrap();
        }
        talk(&mut ends, size).unwrap();
        let mut told = events(&mut ends.acceptor);
        assert_eq!(told.remove(0), LinkEvent::Open { peer: MemberId::of("n0"), life: LIFE });
        assert_eq!(told, payloads.into_iter().map(LinkEvent::Payload).collect::<Vec<_>>());
        assert_eq!(events(&mut ends.dialer), [LinkEvent::Open { peer: MemberId::of("n1"), life: LIFE }]);
    }
}

/// Guards against bytes that are believed though they were changed, left out or said before: at every place of a stream.
#[test]
fn a_stream_that_was_changed_anywhere_ends() {
    let mut first = ends();
    first.dialer.send(b"payload".to_vec()).unwrap();
    let hello = drain(&mut first.dialer);
    first.acceptor.received(&hello, ms(1)).unwrap();
    let answer = drain(&mut first.acceptor);
    first.dialer.received(&answer, ms(1)).unwrap();
    let frames = drain(&mut first.dialer);
    let whole = [hello, frames].concat();
    let open = LinkEvent::Open { peer: MemberId::of("n0"), life: LIFE };
    let read = |bytes: &[u8]| {
        let mut acceptor = ends().acceptor;
        let ended = acceptor.received(bytes, ms(1));
        (ended, events(&mut acceptor))
    };
    assert_eq!(read(&whole), (Ok(()), vec![open, LinkEvent::Payload(b"payload".to_vec())]));
    for at in 0..whole.len() {
        for bit in 0..8 {
            let mut changed = whole.clone();
            changed[at] ^= 1 << bit;
            let (_, told) = read(&changed);
            assert!(!told.contains(&LinkEvent::Payload(b"payload".to_vec())), "byte {at} bit {bit}");
        }
        let (ended, told) = read(&whole[..at]);
        assert!(ended.is_ok() && told.len() < 2, "cut at {at}");
    }
    // The same once more: the acceptor has drawn another nonce.
    let world = World::new(3, 1);
    let mut other = Link::accept(secret(1), world.roster(1), LIFE, [3; 16], Duration::ZERO);
    assert_eq!(other.received(&whole, ms(1)), Err(LinkError::Damaged));
    assert!(!events(&mut other).contains(&LinkEvent::Payload(b"payload".to_vec())));
}

/// Guards against a stranger, another member in a third's place, and whoever answers for the one that was dialed.
#[test]
fn only_the_member_that_is_meant_gets_through() {
    let world = World::new(3, 1);
    let mut lying = Link::dial(secret(2), world.roster(0), LIFE, MemberId::of("n1"), [1; 16], Duration::ZERO);
    let mut ends = ends();
    assert_eq!(ends.acceptor.received(&drain(&mut lying), ms(1)), Err(LinkError::Stranger));
    // n2 answers where n1 was dialed.
    let mut other = Link::accept(secret(2), world.roster(2), LIFE, [2; 16], Duration::ZERO);
    assert_eq!(other.received(&drain(&mut ends.dialer), ms(1)), Err(LinkError::Stranger));
    let (mut mirror, hello) = (self::ends(), drain(&mut self::ends().dialer));
    assert_eq!(mirror.dialer.received(&hello, ms(1)), Err(LinkError::Stranger), "its own words come back");
}

/// Guards against a half-open peer that is waited for, and an idle link that ends though both are there.
#[test]
fn a_silent_side_is_found_and_an_idle_one_is_not() {
    let mut ends = ends();
    assert_eq!(ends.acceptor.timer(ms(1999)), Ok(()));
    assert_eq!(ends.acceptor.timer(ms(2000)), Err(LinkError::Silent), "nobody ever showed who it is");
    let mut ends = self::ends();
    talk(&mut ends, 100).unwrap();
    for second in 1..60 {
        ends.dialer.timer(ms(second * 1000 + 1)).unwrap();
        ends.acceptor.timer(ms(second * 1000 + 1)).unwrap();
        let (there, back) = (drain(&mut ends.dialer), drain(&mut ends.acceptor));
        assert!(!there.is_empty() && !back.is_empty(), "each says that it is there");
        ends.acceptor.received(&there, ms(second * 1000 + 1)).unwrap();
        ends.dialer.received(&back, ms(second * 1000 + 1)).unwrap();
    }
    let last = ms(59_001);
    assert!(ends.dialer.due() <= last + ms(1000));
    assert_eq!(ends.dialer.timer(last + ms(3499)), Ok(()));
    assert_eq!(ends.dialer.timer(last + ms(3500)), Err(LinkError::Silent));
}

/// Guards against a reader that does not keep up and costs memory without end, on either side.
#[test]
fn who_does_not_keep_up_is_sent_no_more() {
    let mut ends = ends();
    talk(&mut ends, 1000).unwrap();
    events(&mut ends.acceptor);
    let mut sent = 0;
    while ends.dialer.send(vec![7; 10_000]).is_ok() {
        sent += 1;
        talk(&mut ends, 100_000).unwrap();
    }
    let waiting: usize = events(&mut ends.acceptor).len();
    assert!(
        waiting * 10_000 <= 256 * 1024 && sent * 10_000 <= 512 * 1024 && sent > waiting,
        "{waiting} of {sent}"
    );
    ends.acceptor.done_with(waiting * 10_000);
    talk(&mut ends, 100_000).unwrap();
    assert_eq!(waiting + events(&mut ends.acceptor).len(), sent);
    assert_eq!(ends.dialer.send(vec![0; MOST_PAYLOAD + 1]), Err(QueueFull));
}
