//! The senders under test: started, watched and restarted, and dealt out by the front.
use super::{End, World, platform};
use crate::history::What;
use crate::http::Conversation;
use crate::observation::{At, Seen};
use crate::plan::{PlannedFault, SeededRng};
use crate::scenario::{FolderKept, How, Where};
use crate::stand_in_network::Host;
use micadrum::daemon::ports::LocalFuture;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// SIGKILL comes so long after SIGTERM.
const TERM_TO_KILL: Duration = Duration::from_millis(3700);
/// A process that is not ready by then does not start.
const START: Duration = Duration::from_secs(30);
/// Between two looks whether a sender is ready.
const LOOK: Duration = Duration::from_millis(25);

/// The operator's file of a sender, and the secret that it names.
pub struct OperatorFile {
    /// The file.
    pub text: String,
    /// The secret.
    pub secret: [u8; 32],
}

/// Takes the lines of a sender's log.
pub type Lines = Rc<dyn Fn(&str)>;

/// How a disk syncs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Syncs {
    /// As it should.
    #[default]
    Work,
    /// It fails; what was to be synced is lost to later ones too.
    Fail,
    /// It does not end.
    Hang,
    /// It says that it is done, and does nothing.
    Lie,
}

/// The processes of the senders: simulated, or real.
pub trait Fleet {
    /// Starts one on this configuration; where clients reach it. Its log goes to `lines`.
    fn start(
        &self,
        sender: u32,
        config: serde_json::Value,
        operator: Option<OperatorFile>,
        lines: Lines,
    ) -> LocalFuture<'_, io::Result<SocketAddr>>;

    /// Where `sender` reaches `other`; where it is itself, where it listens.
    fn peer(&self, sender: u32, other: u32) -> SocketAddr;

    /// Lets it stand still, or go on.
    fn pause(&self, sender: u32, paused: bool);

    /// Where senders are to open a door for operators, if they are.
    fn door(&self) -> Option<SocketAddr>;

    /// What its door says of all members; none where nobody can ask.
    fn look(&self, sender: u32) -> LocalFuture<'_, Option<String>>;

    /// Keeps a copy of the folder that lasts, or puts that copy in its place.
    fn copy_folder(&self, sender: u32, back: bool);

    /// Where clients are to reach it, as its configuration says.
    fn listen(&self, sender: u32) -> SocketAddr;

    /// SIGTERM.
    fn terminate(&self, sender: u32);

    /// SIGHUP, with this configuration in place of the one before.
    fn reload(&self, sender: u32, config: serde_json::Value);

    /// SIGKILL.
    fn kill(&self, sender: u32);

    /// Waits until the process has ended; whether in good order.
    fn ended(&self, sender: u32) -> LocalFuture<'_, bool>;

    /// What was not synced may be gone from the folder; whether that can be done.
    fn lose_power(&self, sender: u32, dice: &mut SeededRng) -> bool;

    /// Its machine begins anew, with its clock off by so many microseconds; whether the clock can be.
    fn begin_anew(&self, sender: u32, off: i64) -> bool;

    /// Empties the folder that lasts.
    fn wipe(&self, sender: u32);

    /// Kills it at a write to its journal; whether that can be done.
    fn kill_at_write(&self, sender: u32, nth: u64, place: Where) -> bool;

    /// Lets its disk take nothing more, or ends that; whether that can be done.
    fn fill_disk(&self, sender: u32, full: bool) -> bool;

    /// How its disk syncs from now on; whether that can be set.
    fn set_syncs(&self, sender: u32, syncs: Syncs) -> bool;

    /// The links between hosts, where they can be struck.
    fn links(&self) -> Option<&dyn Links>;

    /// An address at which nobody is, where there is a better one than an unknown host's.
    fn nobody(&self) -> Option<SocketAddr>;
}

/// How a process ended, once it has.
#[derive(Default)]
pub struct Ended {
    in_order: Cell<Option<bool>>,
    told: Notify,
}

impl Ended {
    /// It has.
    pub fn set(&self, in_order: bool) {
        self.in_order.set(Some(in_order));
        self.told.notify_waiters();
    }

    /// Waits until it has; whether in good order.
    pub async fn wait(&self) -> bool {
        loop {
            let told = self.told.notified();
            if let Some(in_order) = self.in_order.get() {
                return in_order;
            }
            told.await;
        }
    }
}

/// What can happen to links.
pub trait Links {
    /// A fault of the links begins, and lasts until then.
    fn strike(&self, fault: &PlannedFault, until: Instant);

    /// It ends.
    fn relieve(&self, fault: &PlannedFault);

    /// The machine of an endpoint is cut off, or is no longer.
    fn cut(&self, endpoint: u32, cut: bool);

    /// The machine of a sender is cut off from partners, or is no longer.
    fn cut_sender(&self, sender: u32, cut: bool);
}

/// How a machine that lost power comes back.
#[derive(Clone, Copy)]
pub(super) struct PowerBack {
    /// After how long; never where that is none.
    pub after: Option<Duration>,
    /// Its clock stands off by so many microseconds.
    pub off: i64,
}

enum Order {
    Restart { how: How, down: Duration, folder: FolderKept },
    LosePower(PowerBack, FolderKept),
    KillAtWrite { nth: u64, place: Where, down: Duration },
}

/// A sender as clients and front see it.
#[derive(Default)]
pub struct SenderState {
    address: Cell<Option<SocketAddr>>,
    /// Machines that it has lost so far.
    machines: Cell<u32>,
    up: Cell<bool>,
    /// When it was last seen to be down.
    down_since: Cell<Option<At>>,
    orders: RefCell<Option<UnboundedSender<Order>>>,
}

impl SenderState {
    /// Whether it runs and is not winding down.
    pub(super) fn is_up(&self) -> bool {
        self.up.get()
    }

    /// Machines that it has lost so far: what an earlier one held nobody knows.
    pub(super) fn machines(&self) -> u32 {
        self.machines.get()
    }

    /// Where clients reach it, since it was first started.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }
}

impl World {
    /// The sender that the front deals a client out to: by number, past those that it has noticed are down.
    pub(super) fn front(&self, number: u64) -> Option<u32> {
        let notice = self.plan.scenario.front_notice.0;
        let count = self.senders.len() as u64;
        (0..count).map(|n| ((number + n) % count) as u32).find(|sender| {
            let down = self.senders[*sender as usize].down_since.get();
            down.is_none_or(|since| self.now() < since + notice)
        })
    }

    /// Restarts a sender, or loses its machine.
    pub(super) fn restart(&self, sender: u32, how: How, down: Duration, folder: FolderKept) {
        if let Some(orders) = &*self.senders[sender as usize].orders.borrow() {
            let _ = orders.send(Order::Restart { how, down, folder });
        }
    }

    /// Takes a sender's machine the power.
    pub(super) fn lose_power(&self, sender: u32, power: PowerBack, folder: FolderKept) {
        if let Some(orders) = &*self.senders[sender as usize].orders.borrow() {
            let _ = orders.send(Order::LosePower(power, folder));
        }
    }

    /// Kills a sender at a write to its journal.
    pub(super) fn kill_at_write(&self, sender: u32, nth: u64, place: Where, down: Duration) {
        if let Some(orders) = &*self.senders[sender as usize].orders.borrow() {
            let _ = orders.send(Order::KillAtWrite { nth, place, down });
        }
    }
}

/// Starts all senders, and waits until each is ready.
///
/// # Errors
/// Where one does not start.
pub(super) async fn start_all(world: &Rc<World>) -> io::Result<()> {
    for sender in 0..world.senders.len() as u32 {
        start(world, sender, 0).await?;
        let (orders, from_world) = unbounded_channel();
        *world.senders[sender as usize].orders.borrow_mut() = Some(orders);
        spawn_local(supervise(world.clone(), sender, from_world));
    }
    Ok(())
}

async fn start(world: &Rc<World>, sender: u32, times: u64) -> io::Result<()> {
    let seed = SeededRng::new(world.plan.seed, &format!("sender {sender} {times}")).number();
    let config = world.config(sender, world.fleet.listen(sender), seed);
    // The list that its agent has comes with it.
    platform::told(world, sender);
    world.agents[sender as usize].began(world.now());
    let started = timeout(START, async {
        let (operator, log) = (world.operator(sender), world.clone());
        let lines: Lines = Rc::new(move |line| log.logged(sender, line));
        world.record(sender, What::Started);
        let address = world.fleet.start(sender, config, operator, lines).await?;
        let ready = async {
            while !is_ready(world, sender, address).await {
                sleep(LOOK).await;
            }
        };
        tokio::select! {
            biased;
            _ = world.fleet.ended(sender) => Ok(None),
            () = ready => Ok::<_, io::Error>(Some(address)),
        }
    });
    let address =
        started.await.map_err(|_| io::Error::other(format!("sender {sender} does not get ready")))??;
    // Ended before it was ready: whoever watches it sees that.
    let Some(address) = address else { return Ok(()) };
    let state = &world.senders[sender as usize];
    state.address.set(Some(address));
    state.up.set(true);
    state.down_since.set(None);
    world.saw(Seen::Ready { sender });
    if times == 0 {
        world.fleet.copy_folder(sender, false);
    }
    Ok(())
}

async fn is_ready(world: &World, sender: u32, address: SocketAddr) -> bool {
    let look = async {
        let line = world.wire.connect(Host::Sender(sender), address).await.ok()?;
        let mut with = Conversation::new(line);
        with.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await.ok()?;
        with.read(true).await.ok().flatten()
    };
    matches!(timeout(Duration::from_millis(500), look).await, Ok(Some(answer)) if answer.status == 200)
}

/// Carries out what the day has in store for one sender, one thing after another.
async fn supervise(world: Rc<World>, sender: u32, mut orders: UnboundedReceiver<Order>) {
    let state = &world.senders[sender as usize];
    let mut times = 0;
    let mut planned = None;
    loop {
        let order = tokio::select! {
            biased;
            order = orders.recv() => order,
            in_order = world.fleet.ended(sender) => {
                let asked = planned.is_some();
                if asked {
                    world.saw(Seen::Ending { sender, killed: true });
                } else {
                    eprintln!("sender {sender} ended by itself{}", if in_order { "" } else { ", in disorder" });
                }
                stopped(&world, sender, asked, FolderKept::Kept);
                let down = planned.take().unwrap_or(Duration::from_millis(600));
                sleep(down).await;
                times += 1;
                if let Err(e) = start(&world, sender, times).await {
                    eprintln!("{e}");
                    return;
                }
                continue;
            }
        };
        let (how, down, folder, power) = match order {
            None => return,
            Some(Order::LosePower(power, folder)) => {
                // One that never comes back takes what it held with it.
                let folder = if power.after.is_none() { FolderKept::Lost } else { folder };
                (How::Kill, power.after, folder, Some(power))
            }
            Some(Order::KillAtWrite { nth, place, down }) => {
                if world.fleet.kill_at_write(sender, nth, place) {
                    planned = Some(down);
                    continue;
                }
                // Where writes cannot be counted it is killed at once.
                (How::Kill, Some(down), FolderKept::Kept, None)
            }
            Some(Order::Restart { how, down, folder }) => (how, Some(down), folder, None),
        };
        state.up.set(false);
        let mut asked = true;
        match how {
            How::Kill => {
                world.saw(Seen::Ending { sender, killed: true });
                world.fleet.kill(sender);
                world.fleet.ended(sender).await;
            }
            How::Term => {
                world.saw(Seen::Ending { sender, killed: false });
                world.fleet.terminate(sender);
                match timeout(TERM_TO_KILL, world.fleet.ended(sender)).await {
                    Ok(in_order) => asked = in_order || planned.take().is_some(),
                    Err(_) => {
                        world.fleet.kill(sender);
                        world.fleet.ended(sender).await;
                    }
                }
            }
        }
        stopped(&world, sender, asked, folder);
        if let Some(PowerBack { off, .. }) = power
            && !world.fleet.begin_anew(sender, off)
        {
            world.recorder().not_played.push(format!("the clock of sender {sender}, off by {off} us"));
        }
        let Some(down) = down else { return };
        sleep(down).await;
        times += 1;
        if let Err(e) = start(&world, sender, times).await {
            eprintln!("{e}");
            return;
        }
    }
}

fn stopped(world: &World, sender: u32, asked: bool, folder: FolderKept) {
    let state = &world.senders[sender as usize];
    state.up.set(false);
    state.down_since.set(Some(world.now()));
    world.agents[sender as usize].began(world.now());
    world.saw(Seen::Exited { sender, asked });
    world.record(sender, What::Ended);
    if world.plan.forgetful {
        world.fleet.wipe(sender);
    }
    if folder == FolderKept::Synced {
        let times = world.now();
        world.fleet.lose_power(
            sender,
            &mut SeededRng::new(world.plan.seed, &format!("power of {sender} at {times}")),
        );
    }
    if matches!(folder, FolderKept::Lost | FolderKept::Older) {
        world.fleet.wipe(sender);
        if folder == FolderKept::Older {
            world.fleet.copy_folder(sender, true);
        }
        state.machines.set(state.machines.get() + 1);
        world.saw(Seen::MachineLost { sender });
        world.lost(sender);
    }
}

impl World {
    /// What a lost machine held comes again from its clients, unless it may have taken effect: then a person
    /// has to look.
    fn lost(&self, sender: u32) {
        let mut messages = self.messages.borrow_mut();
        let of_sender = messages.known.values_mut().filter(|known| known.sender == sender);
        for known in of_sender {
            let Some(client) = known.end.take() else { continue };
            let _ = client.send(if known.called { End::Failed } else { End::Lost });
        }
    }
}
