//! Performs the actions of [`rollout::Apply`] on the platform.

use platform::{Client, WriteOutcome};
use rollout::{content_key, Apply, ApplyAction, ApplyEvent, ApplyOutcome, Plan, HEAD_KEY};
use std::time::Duration;

/// Pause after a call without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Applies a change; the outcome is unknown after `tries` calls without an answer.
pub async fn apply(client: &Client, plan: Plan, tries: u32) -> ApplyOutcome {
    let mut apply = Apply::new(plan, tries);
    let mut event = ApplyEvent::Begin;
    loop {
        event = match apply.step(event) {
            ApplyAction::Done(outcome) => return outcome,
            action => perform(client, action).await,
        };
        if event == ApplyEvent::NoAnswer {
            async_std::task::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn perform(client: &Client, action: ApplyAction) -> ApplyEvent {
    match action {
        ApplyAction::ReadHead => read(client, HEAD_KEY).await,
        ApplyAction::ReadContent(digest) => read(client, &content_key(&digest)).await,
        ApplyAction::WriteContent(digest, bytes) => {
            write(client, &content_key(&digest), None, bytes).await
        }
        ApplyAction::WriteHead(version, bytes) => write(client, HEAD_KEY, version, bytes).await,
        ApplyAction::Done(_) => ApplyEvent::Begin,
    }
}

async fn read(client: &Client, key: &str) -> ApplyEvent {
    match client.read(key).await {
        Ok(object) => ApplyEvent::Read(object.map(|object| (object.version, object.value))),
        Err(_) => ApplyEvent::NoAnswer,
    }
}

async fn write(client: &Client, key: &str, version: Option<u64>, bytes: Vec<u8>) -> ApplyEvent {
    match client.write(key, version, bytes).await {
        Ok(WriteOutcome::Written) => ApplyEvent::Written,
        Ok(WriteOutcome::Conflict) => ApplyEvent::Conflict,
        Err(_) => ApplyEvent::NoAnswer,
    }
}
