//! Reads the requests of one connection and starts their processing: concurrently if they may be
//! repeated, otherwise one at a time.

use super::pipeline::{BufferedAnswer, Pipeline, PipelineUsage};
use super::request::{self, BadRequest, CallerRequest, Limits};
use super::response::{self, Response};
use super::serve;
use super::stopping;
use crate::local;
use crate::memory;
use crate::node::Node;
use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::net::TcpStream;
use audit::stats;
use buffers::GatedStream;
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

/// Slot of one response in a pipeline.
pub enum ResponseSlot {
    /// The answer to a request that was read.
    Request {
        /// The request's method.
        method: String,
        /// Whether the connection closes after it.
        is_last: bool,
        /// Receives the answer.
        answer: Receiver<BufferedAnswer>,
        /// Counts the request as open.
        open: OpenCall,
    },
    /// A complete response to a request that could not be read; the connection closes after it.
    Refusal(String),
}

/// Guard that counts a request as open until it is dropped.
pub struct OpenCall(Rc<Node>);

impl OpenCall {
    fn new(node: Rc<Node>) -> OpenCall {
        node.open_calls.set(node.open_calls.get() + 1);
        OpenCall(node)
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.open_calls.set(self.0.open_calls.get() - 1);
    }
}

/// Guard that counts a request as incomplete until its body has arrived.
struct IncompleteRequest(Rc<Node>);

impl IncompleteRequest {
    fn new(node: Rc<Node>) -> IncompleteRequest {
        node.incomplete_requests
            .set(node.incomplete_requests.get() + 1);
        IncompleteRequest(node)
    }
}

impl Drop for IncompleteRequest {
    fn drop(&mut self) {
        let count = self.0.incomplete_requests.get();
        self.0.incomplete_requests.set(count - 1);
    }
}

/// Why no further request is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadEnd {
    /// The connection closes once all requests that were read are answered.
    Finished,
    /// The caller has disconnected.
    Disconnected,
}

/// Reads the requests of one connection.
pub struct Reader {
    /// The node.
    pub node: Rc<Node>,
    /// The connection, with bytes that were read but not consumed yet.
    pub connection: Connection<GatedStream<TcpStream>>,
    /// The caller's address.
    pub caller: IpAddr,
    /// Requests in progress on this connection.
    pub pipeline: Rc<Pipeline>,
    /// Requests and answers in all pipelines of the node.
    pub usage: Rc<PipelineUsage>,
    /// Receives the response slots, in order.
    pub slots: Sender<ResponseSlot>,
    /// Closed once the connection has ended.
    pub closed: Receiver<Infallible>,
}

impl Reader {
    /// Reads until the connection ends.
    pub async fn run(mut self) -> ReadEnd {
        loop {
            if let Err(end) = self.read_next().await {
                return end;
            }
        }
    }

    /// Reads one request and starts its processing.
    async fn read_next(&mut self) -> Result<(), ReadEnd> {
        let node = self.node.clone();
        // A stopping node reads no further requests while one is in progress: the last answer
        // closes the connection.
        self.wait_until(|pipeline| {
            pipeline.has_capacity() && (pipeline.is_empty() || !node.stopping.get())
        })
        .await?;
        let in_force = node.in_force();
        let declared = in_force.and_then(|in_force| in_force.declarations.limits);
        let limits = Limits::effective(node.cfg.max_body_bytes as u64, declared);
        self.wait_for_request(limits).await?;
        let head = self.read_head(limits).await?;
        let open = OpenCall::new(node.clone());
        let method = head.method.clone();
        let is_last = request::has_token(&head.headers, "connection", "close");
        let has_key = http1::header_value(&head.headers, request::KEY_HEADER).is_some();
        let incomplete = IncompleteRequest::new(node.clone());
        let read = self.read_request_while_open(head, limits).await;
        drop(incomplete);
        self.connection.stream().holder().message_ended();
        let res = match read {
            Some(Ok(call)) => return self.serve(call, method, is_last, open).await,
            Some(Err(bad)) if bad.is_memory_short() => {
                audit::request_refused_for_memory(&self.caller.to_string());
                response::for_outcome(&node.cfg.headers, memory::refusal(has_key))
            }
            Some(Err(bad)) => {
                stats::bad_input("caller");
                response::bad_request(&bad)
            }
            None => response::for_outcome(&node.cfg.headers, stopping::refusal(has_key)),
        };
        let (tx, answer) = async_channel::bounded(1);
        tx.try_send(self.buffer_answer(res)).ok();
        self.push_slot(ResponseSlot::Request {
            method,
            is_last: true,
            answer,
            open,
        })?;
        Err(ReadEnd::Finished)
    }

    /// Waits for the first bytes of a request.
    async fn wait_for_request(&mut self, limits: Limits) -> Result<(), ReadEnd> {
        loop {
            let idle = match self.pipeline.is_empty() {
                true => self.pipeline.idle_since().elapsed(),
                false => std::time::Duration::ZERO,
            };
            let remaining = limits.idle_timeout.saturating_sub(idle);
            match timeout(remaining, self.connection.wait_for_data()).await {
                Ok(Ok(true)) => return Ok(()),
                Ok(_) => return Err(ReadEnd::Disconnected),
                Err(_)
                    if self.pipeline.is_empty()
                        && self.pipeline.idle_since().elapsed() >= limits.idle_timeout =>
                {
                    return Err(ReadEnd::Finished);
                }
                Err(_) => {}
            }
        }
    }

    async fn read_head(&mut self, limits: Limits) -> Result<RequestHead, ReadEnd> {
        let head = self.connection.request_head(limits.max_head_bytes);
        let refusal = match timeout(limits.head_timeout, head).await {
            Ok(Ok(Some(head))) => return Ok(head),
            Ok(Ok(None)) => return Err(ReadEnd::Disconnected),
            Ok(Err(Fault::Truncated | Fault::Io(_))) => {
                stats::bad_input("caller");
                return Err(ReadEnd::Disconnected);
            }
            Ok(Err(fault)) => raw_refusal(&BadRequest::from(&fault)),
            Err(_) => {
                tracing::info!(status = 408, "a request head did not arrive in time");
                let cause = "the head did not arrive in time".to_string();
                raw_refusal(&BadRequest { status: 408, cause })
            }
        };
        stats::bad_input("caller");
        self.push_slot(ResponseSlot::Refusal(refusal))?;
        Err(ReadEnd::Finished)
    }

    /// Reads the rest of a request; none if its body has not arrived when this node, which is
    /// stopping, accepts no more requests.
    async fn read_request_while_open(
        &mut self,
        head: RequestHead,
        limits: Limits,
    ) -> Option<Result<CallerRequest, BadRequest>> {
        let node = self.node.clone();
        let reading = pin!(self.read_request(head, limits));
        let intake_closed = pin!(node.wait_for_intake_close());
        match select(reading, intake_closed).await {
            Either::Left((read, _)) => Some(read),
            Either::Right(_) => None,
        }
    }

    async fn read_request(
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

    /// Starts the processing of a request. One that may not be repeated starts once all earlier
    /// ones are answered, because the caller would send it again if an earlier answer closed the
    /// connection; and no later request starts before it is answered.
    async fn serve(
        &mut self,
        call: CallerRequest,
        method: String,
        is_last: bool,
        open: OpenCall,
    ) -> Result<(), ReadEnd> {
        let is_exclusive = !may_run_concurrently(self.node.in_force(), &call);
        self.note_pipelining();
        if is_exclusive {
            self.wait_until(Pipeline::is_empty).await?;
        }
        if self.pipeline.is_closing() {
            // The caller regards the request as not read and sends it again.
            return Err(ReadEnd::Finished);
        }
        if wait_for_disconnect(self.connection.stream().get_ref().clone())
            .now_or_never()
            .is_some()
        {
            // The request may have waited long in the buffers of a paused process.
            return Err(ReadEnd::Disconnected);
        }
        let (tx, answer) = async_channel::bounded(1);
        self.push_slot(ResponseSlot::Request {
            method,
            is_last,
            answer,
            open,
        })?;
        let (node, usage) = (self.node.clone(), self.usage.clone());
        let holder = self.connection.stream().holder().clone();
        let closed = self.closed.clone();
        local::spawn_contained("request", async move {
            let disconnected = async move {
                // Nothing is ever sent; the call returns when the channel closes.
                closed.recv().await.ok();
            };
            let res = serve::serve(&node, call, disconnected).await;
            // The connection may have ended by now.
            tx.try_send(BufferedAnswer::new(usage, holder, res)).ok();
        });
        if is_last {
            return Err(ReadEnd::Finished);
        }
        if is_exclusive {
            self.wait_until(Pipeline::is_empty).await?;
        }
        Ok(())
    }

    /// A request that was read behind an unanswered one shows that callers of this node use
    /// pipelining.
    fn note_pipelining(&self) {
        if !self.pipeline.is_empty() {
            self.node.activation.record_pipelined(self.node.now());
        }
    }

    fn buffer_answer(&self, res: Response) -> BufferedAnswer {
        let holder = self.connection.stream().holder().clone();
        BufferedAnswer::new(self.usage.clone(), holder, res)
    }

    fn push_slot(&self, slot: ResponseSlot) -> Result<(), ReadEnd> {
        self.pipeline.add_request();
        // The channel has capacity for a full pipeline and one refusal behind it, so an error means
        // that the writer has ended.
        self.slots.try_send(slot).map_err(|_| ReadEnd::Disconnected)
    }

    /// Waits until `condition` holds for the pipeline or the caller disconnects.
    async fn wait_until(&self, condition: impl Fn(&Pipeline) -> bool) -> Result<(), ReadEnd> {
        if condition(&self.pipeline) {
            return Ok(());
        }
        let stream = self.connection.stream().get_ref().clone();
        let disconnected = pin!(wait_for_disconnect(stream));
        match select(pin!(self.pipeline.wait_until(condition)), disconnected).await {
            Either::Left(((), _)) => Ok(()),
            Either::Right(((), _)) => Err(ReadEnd::Disconnected),
        }
    }
}

/// Whether a request may run concurrently with others of its connection: only if it may be
/// repeated, so that the caller can safely send it again.
fn may_run_concurrently(in_force: Option<Arc<InForce>>, call: &CallerRequest) -> bool {
    let route = in_force
        .as_ref()
        .and_then(|in_force| in_force.declarations.find_route(&call.host, &call.path));
    route.is_some_and(|route| route.treatment.repeatable)
}

fn raw_refusal(bad: &BadRequest) -> String {
    let reason = Reason::BadRequest.as_str();
    response::raw_refusal(
        bad.status,
        response::reason_phrase(bad.status),
        reason,
        &bad.cause,
    )
}

/// Returns when the caller closes its connection. Once further bytes arrive, a disconnect is not
/// detected any more.
pub async fn wait_for_disconnect(stream: TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}
