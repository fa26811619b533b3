//! A network of relays between members. Each member is listed under the address of its relay, which forwards
//! and records all datagrams and streams.
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

/// The maximum length of a datagram between members.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// The addresses of a member.
#[derive(Clone, Copy)]
pub struct MemberAddresses {
    /// The address of its relay, as listed in the configuration of the members.
    pub advertised: SocketAddr,
    /// The address at which its process listens.
    pub listening: SocketAddr,
}

/// The bytes sent over one TCP connection.
#[derive(Default)]
pub struct RecordedStream {
    /// Sent by the side that connected.
    pub dialer: Vec<u8>,
    /// Sent by the side that accepted.
    pub acceptor: Vec<u8>,
}

/// Relays for a number of members, with the recorded traffic.
pub struct RelayNetwork {
    /// The addresses of the members, by index.
    pub members: Vec<MemberAddresses>,
    datagrams: Arc<Mutex<Vec<Vec<u8>>>>,
    streams: Arc<Mutex<Vec<Arc<Mutex<RecordedStream>>>>>,
}

impl RelayNetwork {
    /// Starts a relay for each of `members` members.
    pub fn start(members: usize) -> Self {
        let relays: Vec<(UdpSocket, TcpListener)> = (0..members).map(|_| bind_udp_and_tcp()).collect();
        let members: Vec<MemberAddresses> = relays
            .iter()
            .map(|(socket, _)| MemberAddresses {
                advertised: socket.local_addr().unwrap(),
                listening: free_address(),
            })
            .collect();
        let sockets: Vec<UdpSocket> = relays.iter().map(|(socket, _)| socket.try_clone().unwrap()).collect();
        let network = Self { members, datagrams: Arc::default(), streams: Arc::default() };
        for (index, (socket, listener)) in relays.into_iter().enumerate() {
            let (members, recorded) = (network.members.clone(), network.datagrams.clone());
            let sockets = sockets.iter().map(|socket| socket.try_clone().unwrap()).collect::<Vec<_>>();
            thread::spawn(move || relay_datagrams(index, &socket, &sockets, &members, &recorded));
            let (to, recorded) = (network.members[index].listening, network.streams.clone());
            thread::spawn(move || relay_streams(&listener, to, &recorded));
        }
        network
    }

    /// Returns all datagrams recorded so far.
    pub fn datagrams(&self) -> Vec<Vec<u8>> {
        self.datagrams.lock().unwrap().clone()
    }

    /// Returns all streams recorded so far: the bytes sent by the dialer and by the acceptor.
    pub fn streams(&self) -> Vec<(Vec<u8>, Vec<u8>)> {
        let streams = self.streams.lock().unwrap();
        let bytes = |stream: &Arc<Mutex<RecordedStream>>| {
            let stream = stream.lock().unwrap();
            (stream.dialer.clone(), stream.acceptor.clone())
        };
        streams.iter().map(bytes).collect()
    }
}

/// Binds a UDP socket and a TCP listener to the same free port.
fn bind_udp_and_tcp() -> (UdpSocket, TcpListener) {
    let attempts = (0..20).filter_map(|_| {
        let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
        let listener = TcpListener::bind(socket.local_addr().ok()?).ok()?;
        Some((socket, listener))
    });
    attempts.take(1).next().expect("a port that is free for both UDP and TCP")
}

fn free_address() -> SocketAddr {
    let (socket, _listener) = bind_udp_and_tcp();
    socket.local_addr().unwrap()
}

fn relay_datagrams(
    index: usize,
    socket: &UdpSocket,
    sockets: &[UdpSocket],
    members: &[MemberAddresses],
    recorded: &Mutex<Vec<Vec<u8>>>,
) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    while let Ok((length, from)) = socket.recv_from(&mut buffer) {
        let Some(sender) = members.iter().position(|addresses| addresses.listening == from) else { continue };
        recorded.lock().unwrap().push(buffer[..length].to_vec());
        // The recipient must see the listed address of the sender as the source.
        let _ = sockets[sender].send_to(&buffer[..length], members[index].listening);
    }
}

fn relay_streams(listener: &TcpListener, to: SocketAddr, recorded: &Mutex<Vec<Arc<Mutex<RecordedStream>>>>) {
    for dialer in listener.incoming().map_while(Result::ok) {
        let Ok(acceptor) = TcpStream::connect(to) else { continue };
        let stream = Arc::new(Mutex::new(RecordedStream::default()));
        recorded.lock().unwrap().push(stream.clone());
        let (from, into) = (dialer.try_clone().unwrap(), acceptor.try_clone().unwrap());
        let dialer_record = stream.clone();
        thread::spawn(move || {
            relay_bytes(from, into, |bytes| dialer_record.lock().unwrap().dialer.extend(bytes))
        });
        thread::spawn(move || {
            relay_bytes(acceptor, dialer, |bytes| stream.lock().unwrap().acceptor.extend(bytes));
        });
    }
}

fn relay_bytes(mut from: TcpStream, mut into: TcpStream, record: impl Fn(&[u8])) {
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        record(&buffer[..length]);
        if into.write_all(&buffer[..length]).is_err() {
            return;
        }
    }
    let _ = into.shutdown(Shutdown::Write);
}
