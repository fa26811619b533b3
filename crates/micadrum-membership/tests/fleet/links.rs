//! Links: streams split at any position, modified and replayed frames, impostors, a silent side, a slow
//! reader.
use crate::simulated_fleet::*;
use micadrum_membership::*;
use std::time::Duration;

const INCARNATION: Incarnation = Incarnation { number: 3, run: 9 };

/// Returns the identity of member `member` with the secret key of member `key_of`, and a nonce of equal
/// bytes.
fn identity(fleet: &SimulatedFleet, key_of: usize, member: usize, nonce: u8) -> LinkIdentity {
    LinkIdentity {
        secret: secret(key_of),
        roster: fleet.roster(member),
        incarnation: INCARNATION,
        nonce: [nonce; 16],
    }
}

struct Ends {
    dialer: Link,
    acceptor: Link,
}

fn ends() -> Ends {
    let fleet = SimulatedFleet::new(3, 1);
    let to = MemberId::of("n1");
    Ends {
        dialer: Link::dial(identity(&fleet, 0, 0, 1), to, Duration::ZERO),
        acceptor: Link::accept(identity(&fleet, 1, 1, 2), Duration::ZERO),
    }
}

fn drain(link: &mut Link) -> Vec<u8> {
    std::iter::from_fn(|| link.poll_transmit()).flatten().collect()
}

fn events(link: &mut Link) -> Vec<LinkEvent> {
    std::iter::from_fn(|| link.poll_event()).collect()
}

/// Exchanges all pending bytes, in pieces of `size`.
fn exchange(ends: &mut Ends, size: usize) -> Result<(), LinkError> {
    loop {
        let (to_acceptor, to_dialer) = (drain(&mut ends.dialer), drain(&mut ends.acceptor));
        if to_acceptor.is_empty() && to_dialer.is_empty() {
            return Ok(());
        }
        for piece in to_acceptor.chunks(size) {
            ends.acceptor.handle_received(piece, ms(1))?;
        }
        for piece in to_dialer.chunks(size) {
            ends.dialer.handle_received(piece, ms(1))?;
        }
    }
}

/// Guards against handling an incomplete frame, and against losing a payload that is split across reads.
#[test]
fn payloads_arrive_whole_and_in_order_however_the_stream_is_split() {
    for size in [1, 2, 3, 7, 64, 1000, 100_000] {
        let mut ends = ends();
        let payloads: Vec<Vec<u8>> = (0..20u8).map(|n| vec![n; n as usize * 50]).collect();
        for payload in &payloads {
            ends.dialer.send(payload.clone()).unwrap();
        }
        exchange(&mut ends, size).unwrap();
        let mut received = events(&mut ends.acceptor);
        assert_eq!(
            received.remove(0),
            LinkEvent::Open { peer: MemberId::of("n0"), incarnation: INCARNATION }
        );
        assert_eq!(received, payloads.into_iter().map(LinkEvent::Payload).collect::<Vec<_>>());
        assert_eq!(
            events(&mut ends.dialer),
            [LinkEvent::Open { peer: MemberId::of("n1"), incarnation: INCARNATION }]
        );
    }
}

/// Guards against accepting modified, truncated or replayed bytes, at every position of a stream.
#[test]
fn a_modified_stream_delivers_nothing() {
    let mut first = ends();
    first.dialer.send(b"payload".to_vec()).unwrap();
    let hello = drain(&mut first.dialer);
    first.acceptor.handle_received(&hello, ms(1)).unwrap();
    let answer = drain(&mut first.acceptor);
    first.dialer.handle_received(&answer, ms(1)).unwrap();
    let frames = drain(&mut first.dialer);
    let whole = [hello, frames].concat();
    let open = LinkEvent::Open { peer: MemberId::of("n0"), incarnation: INCARNATION };
    let read = |bytes: &[u8]| {
        let mut acceptor = ends().acceptor;
        let result = acceptor.handle_received(bytes, ms(1));
        (result, events(&mut acceptor))
    };
    assert_eq!(read(&whole), (Ok(()), vec![open, LinkEvent::Payload(b"payload".to_vec())]));
    for at in 0..whole.len() {
        for bit in 0..8 {
            let mut changed = whole.clone();
            changed[at] ^= 1 << bit;
            let (_, received) = read(&changed);
            assert!(!received.contains(&LinkEvent::Payload(b"payload".to_vec())), "byte {at} bit {bit}");
        }
        let (result, received) = read(&whole[..at]);
        assert!(result.is_ok() && received.len() < 2, "cut at {at}");
    }
    // A replay of the whole stream fails, as another link has another nonce.
    let fleet = SimulatedFleet::new(3, 1);
    let mut other = Link::accept(identity(&fleet, 1, 1, 3), Duration::ZERO);
    assert_eq!(other.handle_received(&whole, ms(1)), Err(LinkError::InvalidFrame));
    assert!(!events(&mut other).contains(&LinkEvent::Payload(b"payload".to_vec())));
}

/// Guards against an impostor that dials or answers in place of another member, and against reflection.
#[test]
fn only_the_intended_member_is_authenticated() {
    let fleet = SimulatedFleet::new(3, 1);
    let mut impostor = Link::dial(identity(&fleet, 2, 0, 1), MemberId::of("n1"), Duration::ZERO);
    let mut ends = ends();
    assert_eq!(ends.acceptor.handle_received(&drain(&mut impostor), ms(1)), Err(LinkError::Unauthenticated));
    // n2 answers where n1 was dialed.
    let mut other = Link::accept(identity(&fleet, 2, 2, 2), Duration::ZERO);
    assert_eq!(other.handle_received(&drain(&mut ends.dialer), ms(1)), Err(LinkError::Unauthenticated));
    let (mut mirror, hello) = (self::ends(), drain(&mut self::ends().dialer));
    assert_eq!(
        mirror.dialer.handle_received(&hello, ms(1)),
        Err(LinkError::Unauthenticated),
        "a reflected hello"
    );
}

/// Guards against waiting forever for a silent peer, and against ending an idle link whose sides are both
/// alive.
#[test]
fn a_silent_link_times_out_and_an_idle_one_does_not() {
    let mut ends = ends();
    assert_eq!(ends.acceptor.handle_timeout(ms(1999)), Ok(()));
    assert_eq!(
        ends.acceptor.handle_timeout(ms(2000)),
        Err(LinkError::TimedOut),
        "the handshake was not completed"
    );
    let mut ends = self::ends();
    exchange(&mut ends, 100).unwrap();
    for second in 1..60 {
        ends.dialer.handle_timeout(ms(second * 1000 + 1)).unwrap();
        ends.acceptor.handle_timeout(ms(second * 1000 + 1)).unwrap();
        let (to_acceptor, to_dialer) = (drain(&mut ends.dialer), drain(&mut ends.acceptor));
        assert!(!to_acceptor.is_empty() && !to_dialer.is_empty(), "both sides must send keep-alives");
        ends.acceptor.handle_received(&to_acceptor, ms(second * 1000 + 1)).unwrap();
        ends.dialer.handle_received(&to_dialer, ms(second * 1000 + 1)).unwrap();
    }
    let last = ms(59_001);
    assert!(ends.dialer.due() <= last + ms(1000));
    assert_eq!(ends.dialer.handle_timeout(last + ms(3499)), Ok(()));
    assert_eq!(ends.dialer.handle_timeout(last + ms(3500)), Err(LinkError::TimedOut));
}

/// Guards against a slow reader that causes unbounded memory use on either side.
#[test]
fn a_slow_reader_limits_the_bytes_that_are_sent_and_queued() {
    let mut ends = ends();
    exchange(&mut ends, 1000).unwrap();
    events(&mut ends.acceptor);
    let mut sent = 0;
    while ends.dialer.send(vec![7; 10_000]).is_ok() {
        sent += 1;
        exchange(&mut ends, 100_000).unwrap();
    }
    let unread: usize = events(&mut ends.acceptor).len();
    assert!(
        unread * 10_000 <= 256 * 1024 && sent * 10_000 <= 512 * 1024 && sent > unread,
        "{unread} of {sent} payloads received"
    );
    ends.acceptor.release_credit(unread * 10_000);
    exchange(&mut ends, 100_000).unwrap();
    assert_eq!(unread + events(&mut ends.acceptor).len(), sent);
    assert_eq!(ends.dialer.send(vec![0; MAX_PAYLOAD_BYTES + 1]), Err(QueueFull));
}
