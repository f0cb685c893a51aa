//! What the target says of itself at its health endpoint.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::Phase;
use celeryshore_kernel::RequestEvent;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use serde::Deserialize;

use crate::driver::Driver;

/// Host that the question names; targets do not tell hosts apart by it.
const HOST: &str = "target";
/// Time between two questions.
const PERIOD: Duration = Duration::from_millis(500);
/// Time that an answer may take.
const TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Deserialize)]
struct Health {
    phase: Phase,
}

/// Asks the target for its phase again and again.
pub(crate) async fn watch(driver: Arc<Driver>, path: String) {
    loop {
        let request = HttpRequest {
            method: "GET".into(),
            host: HOST.into(),
            path: path.clone().into(),
            ..HttpRequest::default()
        };
        let outcome = driver.target.run(request, Instant::now() + TIMEOUT).await;
        if let Some(claimed) = claim(outcome) {
            driver.handle(RequestEvent::Probed { claimed });
        }
        Timer::after(PERIOD).await;
    }
}

/// Reads the claimed phase; a target without such an endpoint claims nothing.
fn claim(outcome: Outcome) -> Option<Phase> {
    let Outcome::Answered(response) = outcome else {
        return None;
    };
    stated(&response).or_else(|| is_success(&response).then_some(Phase::Warm))
}

fn stated(response: &HttpResponse) -> Option<Phase> {
    let health: Health = serde_json::from_slice(&response.body).ok()?;
    Some(health.phase)
}

fn is_success(response: &HttpResponse) -> bool {
    (200..300).contains(&response.status)
}
