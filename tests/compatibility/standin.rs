//! Stand-ins for what surrounds a daemon: endpoints, whose calls the test answers, and the platform with its discovery.
use crate::http::{Message, PATIENCE, response};
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that waits for the test's answer; without one its connection stays open until this is dropped.
pub struct Call {
    /// What came.
    pub request: Message,
    reply: Sender<String>,
}

impl Call {
    /// Sends a response.
    pub fn reply(self, status: &str, headers: &str) {
        let _ = self.reply.send(response(status, headers, ""));
    }
}

/// An endpoint on a port of its own.
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    calls: Receiver<Call>,
}

impl Endpoint {
    /// Begins to listen.
    pub fn start() -> Self {
        let (send, calls) = channel();
        let address = listen(move |stream| serve_calls(stream, &send));
        Self { address, calls }
    }

    /// The next call.
    pub fn call(&self) -> Call {
        self.calls.recv_timeout(PATIENCE).expect("a call")
    }

    /// Whether no call comes for so long.
    pub fn is_quiet_for(&self, span: Duration) -> bool {
        self.calls.recv_timeout(span).is_err()
    }
}

fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn serve_calls(mut stream: TcpStream, calls: &Sender<Call>) {
    while let Some(request) = Message::read(&mut stream) {
        let (reply, replied) = channel();
        if calls.send(Call { request, reply }).is_err() {
            return;
        }
        let Ok(text) = replied.recv() else { return };
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// What discovery answers next, and whether notices are acknowledged.
#[derive(Default)]
struct Told {
    list: Option<Value>,
    acknowledges: bool,
}

/// The platform: discovery's agent, and where notices go.
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    told: Arc<Mutex<Told>>,
    notices: Receiver<Value>,
}

impl Platform {
    /// Begins to listen. It answers the first watch with `list`, if there is one, and holds all others open; notices
    /// that it does not acknowledge come again.
    pub fn start(list: Option<Value>, acknowledges: bool) -> Self {
        let told = Arc::new(Mutex::new(Told { list, acknowledges }));
        let (send, notices) = channel();
        let shared = told.clone();
        let address = listen(move |stream| serve_platform(stream, &shared, &send));
        Self { address, told, notices }
    }

    /// The next notice.
    pub fn notice(&self) -> Value {
        self.notices.recv_timeout(PATIENCE).expect("a notice")
    }

    /// Whether discovery's list was asked for and told.
    pub fn has_told_its_list(&self) -> bool {
        self.told.lock().unwrap().list.is_none()
    }
}

fn serve_platform(mut stream: TcpStream, told: &Mutex<Told>, notices: &Sender<Value>) {
    while let Some(request) = Message::read(&mut stream) {
        let answer = if request.first_line.starts_with("GET /api/targets") {
            match told.lock().unwrap().list.take() {
                Some(list) => response("200 OK", "", &list.to_string()),
                None => return hold(stream),
            }
        } else {
            for line in request.body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
                let _ = notices.send(serde_json::from_slice(line).unwrap_or(Value::Null));
            }
            if !told.lock().unwrap().acknowledges {
                return hold(stream);
            }
            response("204 No Content", "", "")
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Leaves a watch unanswered until its client gives it up.
fn hold(mut stream: TcpStream) {
    let _ = Message::read(&mut stream);
}

/// An entry of the list of endpoints, in discovery's form.
pub fn member(id: &str, address: SocketAddr, destination: u64, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "single",
        "cell": destination, "phase": phase, "size": 1.0, "up_since_ms": 0})
}
