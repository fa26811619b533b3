//! A network between members that passes everything on and keeps what it saw: each member is listed at a relay of its own.
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

/// No datagram of members is longer.
const MOST_DATAGRAM: usize = 2048;

/// Where a member is listed, and where it listens.
#[derive(Clone, Copy)]
pub struct Place {
    /// Its relay.
    pub listed: SocketAddr,
    /// Its process.
    pub listens: SocketAddr,
}

/// What went over one stream.
#[derive(Default)]
pub struct Dialogue {
    /// From the side that connected.
    pub dialer: Vec<u8>,
    /// From the other.
    pub acceptor: Vec<u8>,
}

/// The relays, with what they saw.
pub struct Mesh {
    /// By member.
    pub places: Vec<Place>,
    datagrams: Arc<Mutex<Vec<Vec<u8>>>>,
    dialogues: Arc<Mutex<Vec<Arc<Mutex<Dialogue>>>>>,
}

impl Mesh {
    /// Relays for so many members.
    pub fn start(members: usize) -> Self {
        let relays: Vec<(UdpSocket, TcpListener)> = (0..members).map(|_| bind_both()).collect();
        let places: Vec<Place> = relays
            .iter()
            .map(|(socket, _)| Place { listed: socket.local_addr().unwrap(), listens: free_address() })
            .collect();
        let sockets: Vec<UdpSocket> = relays.iter().map(|(socket, _)| socket.try_clone().unwrap()).collect();
        let mesh = Self { places, datagrams: Arc::default(), dialogues: Arc::default() };
        for (own, (socket, listener)) in relays.into_iter().enumerate() {
            let (places, seen) = (mesh.places.clone(), mesh.datagrams.clone());
            let sockets = sockets.iter().map(|socket| socket.try_clone().unwrap()).collect::<Vec<_>>();
            thread::spawn(move || pass_datagrams(own, &socket, &sockets, &places, &seen));
            let (to, seen) = (mesh.places[own].listens, mesh.dialogues.clone());
            thread::spawn(move || pass_streams(&listener, to, &seen));
        }
        mesh
    }

    /// All datagrams so far.
    pub fn datagrams(&self) -> Vec<Vec<u8>> {
        self.datagrams.lock().unwrap().clone()
    }

    /// All streams so far: what the dialer and the acceptor sent.
    pub fn dialogues(&self) -> Vec<(Vec<u8>, Vec<u8>)> {
        let dialogues = self.dialogues.lock().unwrap();
        let bytes = |dialogue: &Arc<Mutex<Dialogue>>| {
            let dialogue = dialogue.lock().unwrap();
            (dialogue.dialer.clone(), dialogue.acceptor.clone())
        };
        dialogues.iter().map(bytes).collect()
    }
}

/// One port for datagrams and streams.
fn bind_both() -> (UdpSocket, TcpListener) {
    let tries = (0..20).filter_map(|_| {
        let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
        let listener = TcpListener::bind(socket.local_addr().ok()?).ok()?;
        Some((socket, listener))
    });
    tries.take(1).next().expect("a port for both")
}

fn free_address() -> SocketAddr {
    let (socket, _listener) = bind_both();
    socket.local_addr().unwrap()
}

fn pass_datagrams(
    own: usize,
    socket: &UdpSocket,
    sockets: &[UdpSocket],
    places: &[Place],
    seen: &Mutex<Vec<Vec<u8>>>,
) {
    let mut buffer = [0; MOST_DATAGRAM];
    while let Ok((length, from)) = socket.recv_from(&mut buffer) {
        let Some(sender) = places.iter().position(|place| place.listens == from) else { continue };
        seen.lock().unwrap().push(buffer[..length].to_vec());
        // It arrives from where its sender is listed.
        let _ = sockets[sender].send_to(&buffer[..length], places[own].listens);
    }
}

fn pass_streams(listener: &TcpListener, to: SocketAddr, seen: &Mutex<Vec<Arc<Mutex<Dialogue>>>>) {
    for dialer in listener.incoming().map_while(Result::ok) {
        let Ok(acceptor) = TcpStream::connect(to) else { continue };
        let dialogue = Arc::new(Mutex::new(Dialogue::default()));
        seen.lock().unwrap().push(dialogue.clone());
        let (from, into) = (dialer.try_clone().unwrap(), acceptor.try_clone().unwrap());
        let kept = dialogue.clone();
        thread::spawn(move || pass_bytes(from, into, |bytes| kept.lock().unwrap().dialer.extend(bytes)));
        thread::spawn(move || {
            pass_bytes(acceptor, dialer, |bytes| dialogue.lock().unwrap().acceptor.extend(bytes));
        });
    }
}

fn pass_bytes(mut from: TcpStream, mut into: TcpStream, keep: impl Fn(&[u8])) {
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        keep(&buffer[..length]);
        if into.write_all(&buffer[..length]).is_err() {
            return;
        }
    }
    let _ = into.shutdown(Shutdown::Write);
}
