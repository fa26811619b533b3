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
const SENDER: Host = Host::Sender(0);
const OTHER_SENDER: Host = Host::Sender(1);
const NEAR_ENDPOINT: Host = Host::Endpoint(0);
const FAR_ENDPOINT: Host = Host::Endpoint(1);

fn run_test<F: Future<Output = ()>>(test: impl FnOnce(Rc<SimNetwork>) -> F) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    let hosts = BTreeMap::from([(SENDER, 0), (OTHER_SENDER, 0), (NEAR_ENDPOINT, 0), (FAR_ENDPOINT, 1)]);
    let runtime_context = runtime.enter();
    let net = SimNetwork::new(hosts, ZONE_DELAY, Rc::new(RefCell::new(LinkFaults::single_zone(2))));
    drop(runtime_context);
    LocalSet::new().block_on(&runtime, test(net));
}

/// Returns the two ends of a connection: first the sender's, then the one at `to`.
async fn connect(net: &Rc<SimNetwork>, to: Host) -> (Box<dyn TestConnection>, Box<dyn TestConnection>) {
    let listener = net.listen(to, 5000).await.unwrap();
    let (client, server) = tokio::join!(net.connect(SENDER, listener.address()), listener.accept());
    (client.unwrap(), server.unwrap())
}

async fn read(stream: &mut dyn TestConnection) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; 64];
    let count = stream.read(&mut bytes).await?;
    bytes.truncate(count);
    Ok(bytes)
}

fn planned_fault(kind: &str, rest: &str) -> PlannedFault {
    let text = format!(
        "title = \"t\"\nlength = \"60 s\"\nsenders = 2\ntraffic = \"20/s\"\n[operator.peers]\n[[fault]]\nkind = \"{kind}\"\n\
         at = \"1 s\"\nfor = \"9 s\"\nsenders = [0]\n{rest}"
    );
    Plan::new(Scenario::parse("t", &text).unwrap(), 1).faults.remove(0)
}

/// Guards against link faults between senders that have no effect on their connections.
#[test]
fn cuts_delays_and_breaks_affect_connections_between_senders() {
    run_test(async |net| {
        let (mut client, mut server) = connect(&net, OTHER_SENDER).await;
        let cut = planned_fault("cut", "");
        net.link_faults.borrow_mut().begin_fault(&cut);
        client.write_all(b"lost").await.unwrap();
        let late = tokio::time::timeout(Duration::from_secs(9), read(&mut *server)).await;
        assert!(late.is_err(), "a cut connection delivered data or ended");
        let connecting = net.connect(SENDER, SocketAddr::new(address(OTHER_SENDER), 5000));
        assert!(tokio::time::timeout(Duration::from_secs(9), connecting).await.is_err());
        net.link_faults.borrow_mut().end_fault(&cut);
    });
    run_test(async |net| {
        let (mut client, mut server) = connect(&net, OTHER_SENDER).await;
        let (slow, broken) =
            (planned_fault("slow", "delay = \"300 ms\""), planned_fault("break", "every = \"1 s\""));
        net.link_faults.borrow_mut().begin_fault(&slow);
        let sent = Instant::now();
        client.write_all(b"slow").await.unwrap();
        assert_eq!(read(&mut *server).await.unwrap(), b"slow");
        assert_eq!(sent.elapsed(), Duration::from_millis(300));
        net.link_faults.borrow_mut().end_fault(&slow);
        net.link_faults.borrow_mut().begin_fault(&broken);
        client.write_all(b"12345678").await.unwrap();
        assert_eq!(read(&mut *server).await.err().map(|e| e.kind()), Some(io::ErrorKind::ConnectionReset));
        assert_eq!(read(&mut *client).await.err().map(|e| e.kind()), Some(io::ErrorKind::ConnectionReset));
    });
}

/// Guards against links between zones without latency.
#[test]
fn data_between_zones_takes_one_zone_delay_and_connecting_takes_two() {
    run_test(async |net| {
        let began = Instant::now();
        let (mut client, mut server) = connect(&net, FAR_ENDPOINT).await;
        assert_eq!(began.elapsed(), ZONE_DELAY * 2);
        client.write_all(b"hello").await.unwrap();
        let sent = Instant::now();
        assert_eq!(read(&mut *server).await.unwrap(), b"hello");
        assert_eq!((sent.elapsed(), server.sent_at()), (ZONE_DELAY, Some(sent)));
        drop(client);
        assert_eq!(read(&mut *server).await.unwrap(), b"");
    });
}

/// Guards against responses from hosts that are cut off or do not exist, and from ports without a listener.
#[test]
fn connecting_is_refused_without_a_listener_and_hangs_without_a_reachable_host() {
    run_test(async |net| {
        let refused = net.connect(SENDER, SocketAddr::new(address(NEAR_ENDPOINT), 9)).await;
        assert_eq!(refused.err().unwrap().kind(), io::ErrorKind::ConnectionRefused);
        net.set_cut(NEAR_ENDPOINT, true);
        for unreachable in [SocketAddr::new(address(NEAR_ENDPOINT), 9), "10.9.0.1:9".parse().unwrap()] {
            let open = tokio::time::timeout(Duration::from_secs(99), net.connect(SENDER, unreachable));
            assert!(open.await.is_err(), "{unreachable} responded");
        }
    });
}

/// Guards against a cut that the other side detects at once, and against connections that survive the loss of
/// data.
#[test]
fn a_cut_host_sends_nothing_and_its_connections_are_reset_when_the_cut_ends() {
    run_test(async |net| {
        let (mut client, mut server) = connect(&net, NEAR_ENDPOINT).await;
        assert!(server.reaches_peer());
        net.set_cut(NEAR_ENDPOINT, true);
        assert!(!server.reaches_peer());
        server.write_all(b"lost").await.unwrap();
        let silent = tokio::time::timeout(Duration::from_secs(60), read(&mut *client)).await;
        assert!(silent.is_err());
        net.set_cut(NEAR_ENDPOINT, false);
        assert!(!server.reaches_peer(), "the connection has lost data");
        assert_eq!(read(&mut *client).await.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    });
}

/// Guards against a held link that loses or reorders data.
#[test]
fn a_held_link_delivers_data_in_order_when_the_hold_ends() {
    run_test(async |net| {
        let (mut client, mut server) = connect(&net, FAR_ENDPOINT).await;
        let until = Instant::now() + Duration::from_secs(5);
        net.set_link(ZoneLinkState { held_until: Some(until), ..ZoneLinkState::default() });
        client.write_all(b"first ").await.unwrap();
        sleep(Duration::from_secs(5)).await;
        net.set_link(ZoneLinkState::default());
        client.write_all(b"second").await.unwrap();
        let mut all = read(&mut *server).await.unwrap();
        while all.len() < 12 {
            all.extend(read(&mut *server).await.unwrap());
        }
        assert_eq!(all, b"first second");
        assert_eq!(Instant::now(), until + ZONE_DELAY);
    });
}

/// Guards against a killed process that still sends data, or whose peers are not notified.
#[test]
fn a_killed_process_sends_no_data_and_resets_its_connections() {
    run_test(async |net| {
        let listener = net.listen(NEAR_ENDPOINT, 5000).await.unwrap();
        let process = Rc::<Process>::default();
        let datagrams = DatagramNetwork::new(Rc::new(RefCell::new(LinkFaults::single_zone(1))));
        let network =
            ProcessNetwork { network: net.clone(), datagrams, host: SENDER, process: process.clone() };
        let at = listener.address();
        let (client, server) = tokio::join!(network.connect(at), listener.accept());
        let (mut client, mut server) = (client.unwrap(), server.unwrap());
        process.kill();
        let written = tokio::time::timeout(Duration::from_secs(9), client.write_all(b"too late")).await;
        assert!(written.is_err());
        spawn_local(async move { drop(client) });
        assert_eq!(read(&mut *server).await.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    });
}
