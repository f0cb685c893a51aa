//! What the target says of itself at its health endpoint.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use celeryshore_kernel::Health;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::Phase;
use celeryshore_kernel::RequestEvent;
use celeryshore_model::Dialect;
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
struct Claim {
    phase: Phase,
}

/// Asks the target for its phase again and again.
pub(crate) async fn poll_phase(driver: Arc<Driver>, path: String) {
    loop {
        let request = question(path.clone());
        let outcome = driver.target.run(request, Instant::now() + TIMEOUT).await;
        if let Some(claimed) = claim(outcome) {
            driver.handle(RequestEvent::PhaseReported { claimed });
        }
        Timer::after(PERIOD).await;
    }
}

/// Examines the target whenever the decisions ask for it.
pub(crate) async fn run_health_checks(driver: Arc<Driver>) {
    let asked = driver.examinations();
    while let Ok(path) = asked.recv().await {
        let outcome = driver
            .target
            .run(question(path), Instant::now() + TIMEOUT)
            .await;
        let health = health(&driver.dialect, &outcome);
        slog::info!(driver.log(), "target: examined"; "health" => ?health);
        driver.handle(RequestEvent::HealthChecked { health });
    }
}

fn question(path: String) -> HttpRequest {
    HttpRequest {
        method: "GET".into(),
        host: HOST.into(),
        path: path.into(),
        ..HttpRequest::default()
    }
}

fn health(dialect: &Dialect, outcome: &Outcome) -> Health {
    let response = match outcome {
        Outcome::Answered(response) => response,
        Outcome::NeverSent => return Health::Unreachable,
        Outcome::Broken | Outcome::Silent => return Health::Bad,
    };
    if !is_success(response) {
        return Health::Bad;
    }
    let cold = dialect
        .cold_remaining
        .as_ref()
        .and_then(|n| response.header(n));
    let millis = cold.and_then(|v| std::str::from_utf8(v).ok()?.trim().parse().ok());
    let cold_for = Duration::from_millis(millis.unwrap_or(0));
    Health::Good { cold_for }
}

/// Reads the claimed phase; a target without such an endpoint claims nothing.
fn claim(outcome: Outcome) -> Option<Phase> {
    let Outcome::Answered(response) = outcome else {
        return None;
    };
    stated(&response).or_else(|| is_success(&response).then_some(Phase::Warm))
}

fn stated(response: &HttpResponse) -> Option<Phase> {
    let claim: Claim = serde_json::from_slice(&response.body).ok()?;
    Some(claim.phase)
}

fn is_success(response: &HttpResponse) -> bool {
    (200..300).contains(&response.status)
}
