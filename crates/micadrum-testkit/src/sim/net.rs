//! A simulated network: hosts in buildings, connections that take their time, are held, cut or reset.
//!
//! All times are the paused tokio clock's; what happens at one moment happens in the order in which it was
//! caused, so a run depends on nothing but its seed.
use super::datagrams::DatagramNetwork;
use crate::link_faults::{FaultWindow, LinkFaults};
use crate::stand_in_network::{Host, StandInConnection, StandInListener, StandInNetwork};
use micadrum::daemon::ports::{Datagrams, Listener, LocalFuture, Network, Stream};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

/// Bytes on their way in one direction: more wait at the writer, as in a socket's buffers.
const WINDOW: usize = 256 * 1024;

/// The process that a socket belongs to; once it is dead its sockets do nothing any more.
#[derive(Default)]
pub struct Process {
    dead: Cell<bool>,
    died: Notify,
    paused: Cell<bool>,
    resumes: RefCell<Option<Waker>>,
}

impl Process {
    /// Ends it on the spot.
    pub fn kill(&self) {
        self.dead.set(true);
        self.died.notify_waiters();
    }

    /// Whether it has ended.
    pub fn is_dead(&self) -> bool {
        self.dead.get()
    }

    /// Lets it stand still, or go on: what became due meanwhile finds it late.
    pub fn pause(&self, paused: bool) {
        self.paused.set(paused);
        if !paused && let Some(waker) = self.resumes.take() {
            waker.wake();
        }
    }

    /// Goes on with something unless it stands still.
    pub async fn unless_paused<F: Future>(&self, going: F) -> F::Output {
        let mut going = std::pin::pin!(going);
        std::future::poll_fn(|cx| {
            if self.paused.get() {
                *self.resumes.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            } else {
                going.as_mut().poll(cx)
            }
        })
        .await
    }

    /// Waits for its end.
    pub async fn died(&self) {
        let died = self.died.notified();
        if !self.is_dead() {
            died.await;
        }
    }
}

enum Item {
    Data(Vec<u8>),
    End,
    Reset,
}

struct OnItsWay {
    sent: Instant,
    due: Instant,
    item: Item,
}

/// One direction of a connection.
#[derive(Default)]
struct Pipe {
    queue: VecDeque<OnItsWay>,
    bytes: usize,
    last_due: Option<Instant>,
    reader: Option<Waker>,
    writer: Option<Waker>,
    /// The reading side is closed: what comes is answered by a reset.
    unread: bool,
}

impl Pipe {
    fn push(&mut self, sent: Instant, due: Instant, item: Item) {
        // TCP keeps the order, whatever the delays.
        let due = self.last_due.map_or(due, |last| last.max(due));
        self.last_due = Some(due);
        if let Item::Data(data) = &item {
            self.bytes += data.len();
        }
        self.queue.push_back(OnItsWay { sent, due, item });
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

struct Connection {
    ends: [Host; 2],
    pipes: [Rc<RefCell<Pipe>>; 2],
    /// Something was lost on the way: it says nothing more until it is reset.
    broken: Cell<bool>,
    /// When a link between its two senders was last broken.
    struck: Cell<Option<u64>>,
    /// When each side ended it, whether or not the other hears of that.
    ended: [Cell<Option<Instant>>; 2],
}

#[derive(Default)]
struct Waiting {
    queue: RefCell<VecDeque<SimStream>>,
    came: Notify,
}

/// The state of the network.
pub struct SimNet {
    this: Weak<SimNet>,
    crossing: Duration,
    building: BTreeMap<Host, usize>,
    cut: RefCell<BTreeSet<Host>>,
    link: RefCell<LinkState>,
    /// What passes between senders.
    ground: Rc<RefCell<LinkFaults>>,
    begun: Instant,
    doors: RefCell<BTreeMap<SocketAddr, Rc<Waiting>>>,
    connections: RefCell<Vec<Weak<Connection>>>,
    next_port: Cell<u16>,
}

/// What is wrong between buildings.
#[derive(Clone, Copy, Default)]
pub struct LinkState {
    /// Takes longer by this.
    pub slower: Duration,
    /// Holds all until then.
    pub held: Option<Instant>,
    /// Loses all.
    pub lost: bool,
}

/// The address of a host.
pub fn address(host: Host) -> IpAddr {
    let (net, n) = match host {
        Host::Sender(n) => (0, n),
        Host::Endpoint(n) => (1, n),
    };
    IpAddr::V4(Ipv4Addr::new(10, net, (n >> 8) as u8, (n & 0xff) as u8))
}

fn host(address: IpAddr) -> Option<Host> {
    match address {
        IpAddr::V4(v4) => {
            let [_, net, high, low] = v4.octets();
            let n = u32::from(high) << 8 | u32::from(low);
            match net {
                0 => Some(Host::Sender(n)),
                1 => Some(Host::Endpoint(n)),
                _ => None,
            }
        }
        IpAddr::V6(_) => None,
    }
}

impl SimNet {
    /// A network of these hosts, each in a building; `crossing` is one way between two of them, and links between senders
    /// pass over that ground.
    pub fn new(
        hosts: BTreeMap<Host, usize>,
        crossing: Duration,
        ground: Rc<RefCell<LinkFaults>>,
    ) -> Rc<Self> {
        Rc::new_cyclic(|this| Self {
            this: this.clone(),
            crossing,
            building: hosts,
            cut: RefCell::default(),
            link: RefCell::default(),
            ground,
            begun: Instant::now(),
            doors: RefCell::default(),
            connections: RefCell::default(),
            next_port: Cell::new(20_000),
        })
    }

    fn crosses(&self, a: Host, b: Host) -> bool {
        self.building.get(&a) != self.building.get(&b)
    }

    fn delay(&self, a: Host, b: Host) -> Duration {
        if !self.crosses(a, b) {
            return Duration::ZERO;
        }
        let link = *self.link.borrow();
        let held = link.held.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()));
        self.crossing + link.slower + held
    }

    fn passes(&self, a: Host, b: Host) -> bool {
        let cut = self.cut.borrow();
        // Whoever is on the machine itself gets through.
        a == b || !(cut.contains(&a) || cut.contains(&b) || self.crosses(a, b) && self.link.borrow().lost)
    }

    /// What becomes of bytes on a link between two senders; none for all other connections.
    fn stretch(&self, from: Host, to: Host, struck: &Cell<Option<u64>>) -> Option<FaultWindow> {
        let (Host::Sender(from), Host::Sender(to)) = (from, to) else { return None };
        let now = self.begun.elapsed().as_micros() as u64;
        (from != to).then(|| self.ground.borrow().stretch(from, to, now, struck))
    }

    /// Sets what is wrong between buildings. What was broken while all was lost is reset when that ends.
    pub fn set_link(&self, link: LinkState) {
        let was = std::mem::replace(&mut *self.link.borrow_mut(), link);
        if was.lost && !link.lost {
            self.reset(|net, ends| net.crosses(ends[0], ends[1]));
        }
    }

    /// What is wrong between buildings now.
    pub fn link(&self) -> LinkState {
        *self.link.borrow()
    }

    /// Cuts a host off, or ends that: its connections that lost something are reset then.
    pub fn cut(&self, host: Host, cut: bool) {
        if cut {
            self.cut.borrow_mut().insert(host);
        } else if self.cut.borrow_mut().remove(&host) {
            self.reset(|_, ends| ends.contains(&host));
        }
    }

    /// Resets the connections that lost something on the way.
    fn reset(&self, which: impl Fn(&Self, &[Host; 2]) -> bool) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        let found: Vec<_> = connections.iter().filter_map(Weak::upgrade).collect();
        drop(connections);
        for connection in found.iter().filter(|c| c.broken.get() && which(self, &c.ends)) {
            let now = Instant::now();
            let due = now + self.delay(connection.ends[0], connection.ends[1]);
            for pipe in &connection.pipes {
                pipe.borrow_mut().push(now, due, Item::Reset);
            }
        }
    }

    fn opened(&self, from: Host, to: Host, processes: [Rc<Process>; 2]) -> [SimStream; 2] {
        let pipes = [Rc::<RefCell<Pipe>>::default(), Rc::default()];
        let connection = Rc::new(Connection {
            ends: [from, to],
            pipes: pipes.clone(),
            broken: Cell::new(false),
            struck: Cell::new(None),
            ended: Default::default(),
        });
        let mut connections = self.connections.borrow_mut();
        if connections.len() % 1024 == 1023 {
            connections.retain(|connection| connection.strong_count() > 0);
        }
        connections.push(Rc::downgrade(&connection));
        let [mine, theirs] = processes;
        let end = |side: usize, process: Rc<Process>| SimStream {
            net: self.this.clone(),
            connection: connection.clone(),
            side,
            process,
            wait: None,
            last_sent: None,
            ended: false,
            finished: false,
        };
        [end(0, mine), end(1, theirs)]
    }

    async fn open(&self, from: Host, process: Rc<Process>, to: SocketAddr) -> io::Result<SimStream> {
        let Some(peer) = host(to.ip()).filter(|h| self.building.contains_key(h)) else {
            // A host that does not exist says nothing.
            return std::future::pending().await;
        };
        let held = || self.stretch(from, peer, &Cell::new(Some(u64::MAX / 2))) == Some(FaultWindow::Held);
        if !self.passes(from, peer) || process.is_dead() || held() {
            return std::future::pending().await;
        }
        pause(self.delay(from, peer)).await;
        if !self.passes(from, peer) {
            return std::future::pending().await;
        }
        let door = self.doors.borrow().get(&to).cloned();
        let taken = door.map(|door| {
            let [mine, theirs] = self.opened(from, peer, [process, Rc::default()]);
            door.queue.borrow_mut().push_back(theirs);
            door.came.notify_one();
            mine
        });
        pause(self.delay(from, peer)).await;
        if !self.passes(from, peer) {
            return std::future::pending().await;
        }
        taken.ok_or_else(|| io::ErrorKind::ConnectionRefused.into())
    }

    fn door(&self, on: Host, process: Rc<Process>, port: u16) -> io::Result<SimListener> {
        let port = if port == 0 {
            self.next_port.set(self.next_port.get().wrapping_add(1).max(20_000));
            self.next_port.get()
        } else {
            port
        };
        let at = SocketAddr::new(address(on), port);
        if self.doors.borrow().contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let waiting = Rc::<Waiting>::default();
        self.doors.borrow_mut().insert(at, waiting.clone());
        Ok(SimListener { net: self.this.clone(), at, waiting, process })
    }
}

async fn pause(span: Duration) {
    if span > Duration::ZERO {
        sleep(span).await;
    }
}

struct SimListener {
    net: Weak<SimNet>,
    at: SocketAddr,
    waiting: Rc<Waiting>,
    process: Rc<Process>,
}

impl SimListener {
    async fn next(&self) -> SimStream {
        loop {
            if let Some(mut stream) = self.waiting.queue.borrow_mut().pop_front() {
                stream.process = self.process.clone();
                return stream;
            }
            self.waiting.came.notified().await;
        }
    }
}

impl Drop for SimListener {
    fn drop(&mut self) {
        if let Some(net) = self.net.upgrade() {
            net.doors.borrow_mut().remove(&self.at);
        }
    }
}

/// One side of a connection.
struct SimStream {
    net: Weak<SimNet>,
    connection: Rc<Connection>,
    side: usize,
    process: Rc<Process>,
    wait: Option<Pin<Box<Sleep>>>,
    last_sent: Option<Instant>,
    /// The other side's end has been read.
    ended: bool,
    /// This side's has been written.
    finished: bool,
}

impl SimStream {
    fn ends(&self) -> (Host, Host) {
        (self.connection.ends[self.side], self.connection.ends[1 - self.side])
    }

    fn incoming(&self) -> &RefCell<Pipe> {
        &self.connection.pipes[1 - self.side]
    }

    fn outgoing(&self) -> &RefCell<Pipe> {
        &self.connection.pipes[self.side]
    }

    fn send(&self, item: Item) {
        if !matches!(item, Item::Data(_)) && self.connection.ended[self.side].get().is_none() {
            self.connection.ended[self.side].set(Some(Instant::now()));
        }
        let Some(net) = self.net.upgrade() else { return };
        let (me, peer) = self.ends();
        let stretch = net.stretch(me, peer, &self.connection.struck);
        if !net.passes(me, peer) || stretch == Some(FaultWindow::Held) {
            self.connection.broken.set(true);
        }
        // An end that a sender's side sends is shown to the stand-in even so: it only has to write it down, and
        // nothing that it could still send would get through.
        let shown = matches!((me, &item), (Host::Sender(_), Item::End | Item::Reset));
        if self.connection.broken.get() && !shown {
            return;
        }
        let now = Instant::now();
        let due = match stretch {
            Some(FaultWindow::Comes(delay)) => now + delay,
            _ => now + net.delay(me, peer),
        };
        let mut outgoing = self.outgoing().borrow_mut();
        if outgoing.unread && matches!(item, Item::Data(_)) {
            // Nobody reads there any more: that comes back as a reset.
            let back = due + net.delay(me, peer);
            self.incoming().borrow_mut().push(now, back, Item::Reset);
            return;
        }
        if let (Some(FaultWindow::Breaks), Item::Data(data)) = (stretch, &item) {
            // In the midst of what is said, for both.
            outgoing.push(now, due, Item::Data(data[..data.len() / 2].to_vec()));
            outgoing.push(now, due, Item::Reset);
            self.incoming().borrow_mut().push(now, due, Item::Reset);
            return;
        }
        outgoing.push(now, due, item);
    }
}

impl AsyncRead for SimStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.process.is_dead() {
            return Poll::Pending;
        }
        if this.ended {
            return Poll::Ready(Ok(()));
        }
        let now = Instant::now();
        let connection = this.connection.clone();
        let mut pipe = connection.pipes[1 - this.side].borrow_mut();
        // What a reset overtakes is lost, as the system would have it.
        let reset = pipe.queue.iter().find(|next| next.due <= now && matches!(next.item, Item::Reset));
        if let Some(reset) = reset {
            this.last_sent = Some(reset.sent);
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        pipe.reader = Some(cx.waker().clone());
        let Some(next) = pipe.queue.front_mut() else { return Poll::Pending };
        if next.due > now {
            let mut wait = Box::pin(sleep_until(next.due));
            let polled = wait.as_mut().poll(cx);
            this.wait = Some(wait);
            if polled.is_pending() {
                return Poll::Pending;
            }
        }
        this.wait = None;
        this.last_sent = Some(next.sent);
        match &mut next.item {
            Item::Data(data) => {
                let count = data.len().min(buf.remaining());
                buf.put_slice(&data[..count]);
                if count == data.len() {
                    pipe.queue.pop_front();
                } else {
                    data.drain(..count);
                }
                pipe.bytes -= count;
                if let Some(writer) = pipe.writer.take() {
                    writer.wake();
                }
            }
            Item::End => this.ended = true,
            Item::Reset => return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SimStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.process.is_dead() {
            return Poll::Pending;
        }
        let now = Instant::now();
        let reset = |next: &OnItsWay| next.due <= now && matches!(next.item, Item::Reset);
        if self.incoming().borrow().queue.iter().any(reset) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let mut outgoing = self.outgoing().borrow_mut();
        if outgoing.bytes >= WINDOW {
            outgoing.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let count = buf.len().min(WINDOW - outgoing.bytes);
        drop(outgoing);
        self.send(Item::Data(buf[..count].to_vec()));
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.finished && !self.process.is_dead() {
            self.finished = true;
            self.send(Item::End);
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for SimStream {
    fn drop(&mut self) {
        let unread = {
            let mut incoming = self.incoming().borrow_mut();
            incoming.unread = true;
            let now = Instant::now();
            incoming.queue.iter().any(|next| next.due <= now && matches!(next.item, Item::Data(_)))
        };
        // As the system does: a process that dies, and unread bytes, reset the connection.
        if self.process.is_dead() || unread {
            self.send(Item::Reset);
        } else if !self.finished {
            self.send(Item::End);
        }
    }
}

impl Stream for SimStream {
    fn is_fresh(&self) -> io::Result<()> {
        let now = Instant::now();
        match self.incoming().borrow().queue.front() {
            Some(next) if next.due <= now => Err(io::ErrorKind::ConnectionAborted.into()),
            _ => Ok(()),
        }
    }
}

impl StandInConnection for SimStream {
    fn sent(&self) -> Option<Instant> {
        self.last_sent
    }

    fn ended_at(&self) -> Option<Instant> {
        self.connection.ended[1 - self.side].get()
    }

    fn delay(&self) -> Duration {
        let (me, peer) = self.ends();
        self.net.upgrade().map_or(Duration::ZERO, |net| net.delay(me, peer))
    }

    fn arrives(&self) -> bool {
        let (me, peer) = self.ends();
        !self.connection.broken.get() && self.net.upgrade().is_some_and(|net| net.passes(me, peer))
    }
}

/// The network as one process of the daemon has it.
pub struct ProcessNetwork {
    /// The network.
    pub net: Rc<SimNet>,
    /// Datagrams between senders.
    pub mail: Rc<DatagramNetwork>,
    /// Its machine.
    pub host: Host,
    /// The process.
    pub process: Rc<Process>,
}

impl Network for ProcessNetwork {
    fn connect(&self, to: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let stream = self.net.open(self.host, self.process.clone(), to).await?;
            Ok(Box::new(stream) as Box<dyn Stream>)
        })
    }

    fn listen(&self, at: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn Listener>>> {
        Box::pin(async move {
            let door = self.net.door(self.host, self.process.clone(), at.port())?;
            Ok(Box::new(door) as Box<dyn Listener>)
        })
    }

    fn bind(&self, at: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn Datagrams>>> {
        Box::pin(async move { self.mail.bind(self.host, at, self.process.clone()) })
    }
}

impl Listener for SimListener {
    fn accept(&self) -> LocalFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move { Ok(Box::new(self.next().await) as Box<dyn Stream>) })
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.at)
    }
}

impl StandInListener for SimListener {
    fn accept(&self) -> LocalFuture<'_, io::Result<Box<dyn StandInConnection>>> {
        Box::pin(async move { Ok(Box::new(self.next().await) as Box<dyn StandInConnection>) })
    }

    fn address(&self) -> SocketAddr {
        self.at
    }
}

impl StandInNetwork for SimNet {
    fn connect(&self, from: Host, to: SocketAddr) -> LocalFuture<'_, io::Result<Box<dyn StandInConnection>>> {
        Box::pin(async move {
            let stream = self.open(from, Rc::default(), to).await?;
            Ok(Box::new(stream) as Box<dyn StandInConnection>)
        })
    }

    fn listen(&self, on: Host, port: u16) -> LocalFuture<'_, io::Result<Box<dyn StandInListener>>> {
        Box::pin(async move { Ok(Box::new(self.door(on, Rc::default(), port)?) as Box<dyn StandInListener>) })
    }
}

#[cfg(test)]
mod tests;
