use super::*;
use crate::plan::{Plan, PlannedFault};
use crate::scenario::Scenario;
use crate::sim::datagrams::DatagramNetwork;
use crate::sim::hosts::address;
use crate::sim::process_network::ProcessNetwork;
use micadrum::daemon::ports::Network;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{LocalSet, spawn_local};

const ZONE_DELAY: Duration = Duration::from_millis(110);
const HERE: Host = Host::Sender(0);
const OTHER: Host = Host::Sender(1);
const NEAR: Host = Host::Endpoint(0);
const FAR: Host = Host::Endpoint(1);

fn play<F: Future<Output = ()>>(test: impl FnOnce(Rc<SimNetwork>) -> F) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    let hosts = BTreeMap::from([(HERE, 0), (OTHER, 0), (NEAR, 0), (FAR, 1)]);
    let within = runtime.enter();
    let net = SimNetwork::new(hosts, ZONE_DELAY, Rc::new(RefCell::new(LinkFaults::single_zone(2))));
    drop(within);
    LocalSet::new().block_on(&runtime, test(net));
}

/// Two ends of a connection: a sender's and an endpoint's.
async fn pair(net: &Rc<SimNetwork>, to: Host) -> (Box<dyn TestConnection>, Box<dyn TestConnection>) {
    let listener = net.listen(to, 5000).await.unwrap();
    let (mine, theirs) = tokio::join!(net.connect(HERE, listener.address()), listener.accept());
    (mine.unwrap(), theirs.unwrap())
}

async fn read(line: &mut dyn TestConnection) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; 64];
    let count = line.read(&mut bytes).await?;
    bytes.truncate(count);
    Ok(bytes)
}

fn strike(kind: &str, rest: &str) -> PlannedFault {
    let text = format!(
        "title = \"t\"\nlength = \"60 s\"\nsenders = 2\ntraffic = \"20/s\"\n[operator.peers]\n[[fault]]\nkind = \"{kind}\"\n\
         at = \"1 s\"\nfor = \"9 s\"\nsenders = [0]\n{rest}"
    );
    Plan::new(Scenario::parse("t", &text).unwrap(), 1).faults.remove(0)
}

/// Guards against links between senders that no fault of what they say to each other reaches.
#[test]
fn links_between_senders_are_struck() {
    play(async |net| {
        let (mut mine, mut theirs) = pair(&net, OTHER).await;
        let cut = strike("cut", "");
        net.link_faults.borrow_mut().begin_fault(&cut);
        mine.write_all(b"lost").await.unwrap();
        let late = tokio::time::timeout(Duration::from_secs(9), read(&mut *theirs)).await;
        assert!(late.is_err(), "open and silent");
        let opens = net.connect(HERE, SocketAddr::new(address(OTHER), 5000));
        assert!(tokio::time::timeout(Duration::from_secs(9), opens).await.is_err());
        net.link_faults.borrow_mut().end_fault(&cut);
    });
    play(async |net| {
        let (mut mine, mut theirs) = pair(&net, OTHER).await;
        let (slow, broken) = (strike("slow", "delay = \"300 ms\""), strike("break", "every = \"1 s\""));
        net.link_faults.borrow_mut().begin_fault(&slow);
        let sent = Instant::now();
        mine.write_all(b"slow").await.unwrap();
        assert_eq!(read(&mut *theirs).await.unwrap(), b"slow");
        assert_eq!(sent.elapsed(), Duration::from_millis(300));
        net.link_faults.borrow_mut().end_fault(&slow);
        net.link_faults.borrow_mut().begin_fault(&broken);
        mine.write_all(b"12345678").await.unwrap();
        assert_eq!(read(&mut *theirs).await.err().map(|e| e.kind()), Some(io::ErrorKind::ConnectionReset));
        assert_eq!(read(&mut *mine).await.err().map(|e| e.kind()), Some(io::ErrorKind::ConnectionReset));
    });
}

/// Guards against a network without distance: each way takes its time, and a connection both.
#[test]
fn crossing_takes_its_time() {
    play(async |net| {
        let began = Instant::now();
        let (mut mine, mut theirs) = pair(&net, FAR).await;
        assert_eq!(began.elapsed(), ZONE_DELAY * 2);
        mine.write_all(b"hello").await.unwrap();
        let sent = Instant::now();
        assert_eq!(read(&mut *theirs).await.unwrap(), b"hello");
        assert_eq!((sent.elapsed(), theirs.sent_at()), (ZONE_DELAY, Some(sent)));
        drop(mine);
        assert_eq!(read(&mut *theirs).await.unwrap(), b"");
    });
}

/// Guards against a dead end that answers: nobody listens, or the host is gone or never was.
#[test]
fn there_is_no_answer_where_nobody_is() {
    play(async |net| {
        let refused = net.connect(HERE, SocketAddr::new(address(NEAR), 9)).await;
        assert_eq!(refused.err().unwrap().kind(), io::ErrorKind::ConnectionRefused);
        net.set_cut(NEAR, true);
        for nobody in [SocketAddr::new(address(NEAR), 9), "10.9.0.1:9".parse().unwrap()] {
            let open = tokio::time::timeout(Duration::from_secs(99), net.connect(HERE, nobody));
            assert!(open.await.is_err(), "{nobody} answered");
        }
    });
}

/// Guards against a cut that a peer notices, and against connections that live on as if nothing was lost.
#[test]
fn a_cut_host_is_silent_and_reset_when_it_is_back() {
    play(async |net| {
        let (mut mine, mut theirs) = pair(&net, NEAR).await;
        assert!(theirs.reaches_peer());
        net.set_cut(NEAR, true);
        assert!(!theirs.reaches_peer());
        theirs.write_all(b"lost").await.unwrap();
        let silent = tokio::time::timeout(Duration::from_secs(60), read(&mut *mine)).await;
        assert!(silent.is_err());
        net.set_cut(NEAR, false);
        assert!(!theirs.reaches_peer(), "it has lost something");
        assert_eq!(read(&mut *mine).await.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    });
}

/// Guards against a hold that loses or reorders, or holds what stays in its building.
#[test]
fn a_held_link_delivers_in_order_at_its_end() {
    play(async |net| {
        let (mut mine, mut theirs) = pair(&net, FAR).await;
        let until = Instant::now() + Duration::from_secs(5);
        net.set_link(ZoneLinkState { held_until: Some(until), ..ZoneLinkState::default() });
        mine.write_all(b"first ").await.unwrap();
        sleep(Duration::from_secs(5)).await;
        net.set_link(ZoneLinkState::default());
        mine.write_all(b"second").await.unwrap();
        let mut all = read(&mut *theirs).await.unwrap();
        while all.len() < 12 {
            all.extend(read(&mut *theirs).await.unwrap());
        }
        assert_eq!(all, b"first second");
        assert_eq!(Instant::now(), until + ZONE_DELAY);
    });
}

/// Guards against a process that goes on after its end, or whose peers never hear of it.
#[test]
fn a_killed_process_resets_its_connections_and_says_no_more() {
    play(async |net| {
        let listener = net.listen(NEAR, 5000).await.unwrap();
        let process = Rc::<Process>::default();
        let datagrams = DatagramNetwork::new(Rc::new(RefCell::new(LinkFaults::single_zone(1))));
        let network =
            ProcessNetwork { network: net.clone(), datagrams, host: HERE, process: process.clone() };
        let at = listener.address();
        let (mine, theirs) = tokio::join!(network.connect(at), listener.accept());
        let (mut mine, mut theirs) = (mine.unwrap(), theirs.unwrap());
        process.kill();
        let written = tokio::time::timeout(Duration::from_secs(9), mine.write_all(b"too late")).await;
        assert!(written.is_err());
        spawn_local(async move { drop(mine) });
        assert_eq!(read(&mut *theirs).await.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    });
}
