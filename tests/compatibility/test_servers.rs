//! Test servers for a daemon: endpoints whose calls the test answers, and the platform with discovery.
use crate::http::{Message, TIMEOUT, response};
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that waits for a response from the test. If it is dropped instead, its connection is closed.
pub struct Call {
    /// The request to respond to.
    pub request: Message,
    reply: Sender<String>,
}

impl Call {
    /// Sends a response without a body.
    pub fn reply(self, status: &str, headers: &str) {
        let _ = self.reply.send(response(status, headers, ""));
    }
}

/// An endpoint on its own port.
pub struct Endpoint {
    /// The address at which it listens.
    pub address: SocketAddr,
    calls: Receiver<Call>,
}

impl Endpoint {
    /// Starts an endpoint on a free port.
    pub fn start() -> Self {
        let (sender, calls) = channel();
        let address = listen(move |stream| serve_calls(stream, &sender));
        Self { address, calls }
    }

    /// Waits for the next call and returns it.
    pub fn call(&self) -> Call {
        self.calls.recv_timeout(TIMEOUT).expect("a call within the timeout")
    }

    /// Returns whether no call is received for `span`.
    pub fn receives_nothing_for(&self, span: Duration) -> bool {
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

/// The next answer of discovery, and whether notices are acknowledged.
#[derive(Default)]
struct PlatformState {
    list: Option<Value>,
    acknowledges_notices: bool,
}

/// The platform: discovery and the receiver of notices.
pub struct Platform {
    /// The address at which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<PlatformState>>,
    notices: Receiver<Value>,
}

impl Platform {
    /// Starts a platform that answers the first watch with `list`, if given, and leaves all other watches
    /// unanswered. The daemon resends notices that are not acknowledged.
    pub fn start(list: Option<Value>, acknowledges_notices: bool) -> Self {
        let state = Arc::new(Mutex::new(PlatformState { list, acknowledges_notices }));
        let (sender, notices) = channel();
        let shared = state.clone();
        let address = listen(move |stream| serve_platform(stream, &shared, &sender));
        Self { address, state, notices }
    }

    /// Waits for the next notice and returns it.
    pub fn notice(&self) -> Value {
        self.notices.recv_timeout(TIMEOUT).expect("a notice within the timeout")
    }

    /// Returns whether discovery has answered a watch with the list.
    pub fn has_sent_list(&self) -> bool {
        self.state.lock().unwrap().list.is_none()
    }
}

fn serve_platform(mut stream: TcpStream, state: &Mutex<PlatformState>, notices: &Sender<Value>) {
    while let Some(request) = Message::read(&mut stream) {
        let answer = if request.first_line.starts_with("GET /api/targets") {
            match state.lock().unwrap().list.take() {
                Some(list) => response("200 OK", "", &list.to_string()),
                None => return wait_without_answer(stream),
            }
        } else {
            for line in request.body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
                let _ = notices.send(serde_json::from_slice(line).unwrap_or(Value::Null));
            }
            if !state.lock().unwrap().acknowledges_notices {
                return wait_without_answer(stream);
            }
            response("204 No Content", "", "")
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Leaves a request unanswered until the client closes the connection or sends another one.
fn wait_without_answer(mut stream: TcpStream) {
    let _ = Message::read(&mut stream);
}

/// Returns an entry of discovery's list of endpoints.
pub fn member(id: &str, address: SocketAddr, destination: u64, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "single",
        "cell": destination, "phase": phase, "size": 1.0, "up_since_ms": 0})
}
