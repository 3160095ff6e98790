//! Reads the requests of one connection and has them served: beside one another where they may be repeated, else alone.

use super::pipeline::{Held, Pipeline, Pipelines};
use super::request::{self, BadRequest, CallerRequest, Limits};
use super::response;
use super::serve;
use crate::local;
use crate::node::Node;
use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::net::TcpStream;
use audit::stats;
use futures_util::future::{select, Either};
use futures_util::FutureExt;
use home::Reason;
use http1::{Connection, Fault, RequestHead};
use rollout::InForce;
use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

/// The slot of one answer in a pipeline.
pub enum ResponseSlot {
    /// The answer to a request that was read.
    Request {
        /// The request's method.
        method: String,
        /// Whether the connection ends with it.
        is_last: bool,
        /// The answer, once there is one.
        answer: Receiver<Held>,
        /// Counts the request as open.
        open: OpenCall,
    },
    /// A whole response to what could not be read; the connection ends with it.
    Refusal(String),
}

/// Counts a request as open for as long as it lives.
pub struct OpenCall(Rc<Node>);

impl OpenCall {
    fn begin(node: Rc<Node>) -> OpenCall {
        node.open_calls.set(node.open_calls.get() + 1);
        OpenCall(node)
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.open_calls.set(self.0.open_calls.get() - 1);
    }
}

/// Why no more is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The connection ends when what was read is answered.
    Done,
    /// The caller has left.
    Gone,
}

/// Reads one connection.
pub struct Reader {
    /// The node.
    pub node: Rc<Node>,
    /// What was read and not used yet.
    pub connection: Connection<TcpStream>,
    /// Where the caller is.
    pub caller: IpAddr,
    /// Requests in progress on this connection.
    pub pipeline: Rc<Pipeline>,
    /// What all pipelines hold.
    pub pipelines: Rc<Pipelines>,
    /// Takes the slots of the answers, in order.
    pub slots: Sender<ResponseSlot>,
    /// Closed once the caller has left.
    pub gone: Receiver<Infallible>,
}

impl Reader {
    /// Reads until the connection ends.
    pub async fn run(mut self) -> Ended {
        loop {
            if let Err(ended) = self.next().await {
                return ended;
            }
        }
    }

    /// Reads one request and has it served.
    async fn next(&mut self) -> Result<(), Ended> {
        let node = self.node.clone();
        // A node that stops reads nothing behind what it serves: the last answer closes the connection.
        self.until(|pipeline| pipeline.has_room() && (pipeline.is_empty() || !node.stopping.get()))
            .await?;
        let in_force = node.in_force();
        let declared = in_force.and_then(|in_force| in_force.declarations.limits);
        let limits = Limits::of(node.cfg.max_body_bytes as u64, declared);
        self.begins(limits).await?;
        let head = self.head(limits).await?;
        let open = OpenCall::begin(node.clone());
        let method = head.method.clone();
        let asked_to_close = request::has_token(&head.headers, "connection", "close");
        match self.request(head, limits).await {
            Ok(call) => self.serve(call, method, asked_to_close, open).await,
            Err(bad) => {
                stats::bad_input("caller");
                let (tx, answer) = async_channel::bounded(1);
                let res = response::bad_request(&bad);
                tx.try_send(Held::new(self.pipelines.clone(), res)).ok();
                self.put(ResponseSlot::Request {
                    method,
                    is_last: true,
                    answer,
                    open,
                })?;
                Err(Ended::Done)
            }
        }
    }

    /// Waits for the first bytes of a request.
    async fn begins(&mut self, limits: Limits) -> Result<(), Ended> {
        loop {
            let rested = match self.pipeline.is_empty() {
                true => self.pipeline.rests_since().elapsed(),
                false => std::time::Duration::ZERO,
            };
            let left = limits.idle.saturating_sub(rested);
            match timeout(left, self.connection.wait_for_data()).await {
                Ok(Ok(true)) => return Ok(()),
                Ok(_) => return Err(Ended::Gone),
                Err(_)
                    if self.pipeline.is_empty()
                        && self.pipeline.rests_since().elapsed() >= limits.idle =>
                {
                    return Err(Ended::Done);
                }
                Err(_) => {}
            }
        }
    }

    async fn head(&mut self, limits: Limits) -> Result<RequestHead, Ended> {
        let head = self.connection.request_head(limits.header_bytes);
        let refusal = match timeout(limits.head, head).await {
            Ok(Ok(Some(head))) => return Ok(head),
            Ok(Ok(None)) => return Err(Ended::Gone),
            Ok(Err(Fault::Truncated | Fault::Io(_))) => {
                stats::bad_input("caller");
                return Err(Ended::Gone);
            }
            Ok(Err(fault)) => refusal(&BadRequest::from(&fault)),
            Err(_) => {
                tracing::info!(status = 408, "a head did not arrive in time");
                let cause = "the head did not arrive in time".to_string();
                refusal(&BadRequest { status: 408, cause })
            }
        };
        stats::bad_input("caller");
        self.put(ResponseSlot::Refusal(refusal))?;
        Err(Ended::Done)
    }

    async fn request(
        &mut self,
        head: RequestHead,
        limits: Limits,
    ) -> Result<CallerRequest, BadRequest> {
        let node = self.node.clone();
        let parent_of = |id: &str| node.parent_of(id);
        let names = &node.cfg.headers;
        let connection = &mut self.connection;
        let received = node.now();
        let caller = self.caller;
        request::read(names, parent_of, connection, caller, head, limits, received).await
    }

    /// Has a request served. One that may not be repeated starts once all before it are answered, since it would be
    /// sent again behind an answer that closes the connection; and nothing starts behind it.
    async fn serve(
        &mut self,
        call: CallerRequest,
        method: String,
        is_last: bool,
        open: OpenCall,
    ) -> Result<(), Ended> {
        let is_alone = !may_run_beside(self.node.in_force(), &call);
        self.note_pipelining();
        if is_alone {
            self.until(Pipeline::is_empty).await?;
        }
        if self.pipeline.closes() {
            // The caller sends it again: to it, it was not read.
            return Err(Ended::Done);
        }
        if hung_up(self.connection.stream().clone())
            .now_or_never()
            .is_some()
        {
            // The request may have waited long in the buffers of a paused process.
            return Err(Ended::Gone);
        }
        let (tx, answer) = async_channel::bounded(1);
        self.put(ResponseSlot::Request {
            method,
            is_last,
            answer,
            open,
        })?;
        let (node, pipelines) = (self.node.clone(), self.pipelines.clone());
        let gone = self.gone.clone();
        local::spawn_contained("request", async move {
            let hung_up = async move {
                // Nothing is ever sent: the channel closes.
                gone.recv().await.ok();
            };
            let res = serve::serve(&node, call, hung_up).await;
            // The connection may have ended meanwhile.
            tx.try_send(Held::new(pipelines, res)).ok();
        });
        if is_last {
            return Err(Ended::Done);
        }
        if is_alone {
            self.until(Pipeline::is_empty).await?;
        }
        Ok(())
    }

    /// A request that was read behind an unanswered one shows that callers of this node pipeline.
    fn note_pipelining(&self) {
        if !self.pipeline.is_empty() {
            self.node.activation.record_pipelined(self.node.now());
        }
    }

    fn put(&self, slot: ResponseSlot) -> Result<(), Ended> {
        self.pipeline.join();
        // As many slots as a pipeline has, and one refusal behind them; else the writer has ended.
        self.slots.try_send(slot).map_err(|_| Ended::Gone)
    }

    /// Waits until `fits` holds of the pipeline, or the caller leaves.
    async fn until(&self, fits: impl Fn(&Pipeline) -> bool) -> Result<(), Ended> {
        if fits(&self.pipeline) {
            return Ok(());
        }
        let hung_up = pin!(hung_up(self.connection.stream().clone()));
        match select(pin!(self.pipeline.until(fits)), hung_up).await {
            Either::Left(((), _)) => Ok(()),
            Either::Right(((), _)) => Err(Ended::Gone),
        }
    }
}

/// Whether a request may run beside others of its connection: it may be repeated, so that nothing is lost when the
/// caller sends it again.
fn may_run_beside(in_force: Option<Arc<InForce>>, call: &CallerRequest) -> bool {
    let route = in_force
        .as_ref()
        .and_then(|in_force| in_force.declarations.find_route(&call.host, &call.path));
    route.is_some_and(|route| route.treatment.repeatable)
}

fn refusal(bad: &BadRequest) -> String {
    let reason = Reason::BadRequest.as_str();
    response::raw(bad.status, response::phrase(bad.status), reason, &bad.cause)
}

/// Ends when the caller closes its connection. A caller that sends on is not watched any further.
pub async fn hung_up(stream: TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}
