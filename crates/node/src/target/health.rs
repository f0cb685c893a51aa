//! Health checks: reads the target's state from its health endpoint.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use celeryshore_kernel::Health;
use celeryshore_kernel::Outcome;
use celeryshore_kernel::Phase;
use celeryshore_kernel::RequestEvent;
use celeryshore_kernel::ResponseStatement;
use celeryshore_model::Dialect;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use serde::Deserialize;

use crate::driver::Driver;

/// Host header of health requests, which targets ignore.
const HOST: &str = "target";
/// Time between two polls of the phase.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Deserialize)]
struct HealthBody {
    phase: Phase,
}

/// Polls the target's phase and reports it to the kernel, until the task is dropped.
pub(crate) async fn poll_phase(driver: Arc<Driver>, path: String) {
    loop {
        let request = health_request(path.clone());
        let outcome = driver
            .target
            .run(request, Instant::now() + RESPONSE_TIMEOUT)
            .await;
        if let Some(claimed) = reported_phase(outcome) {
            driver.handle(RequestEvent::PhaseReported { claimed });
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Checks the target's health whenever the kernel requests it, until the task is
/// dropped.
pub(crate) async fn run_health_checks(driver: Arc<Driver>) {
    let requested = driver.health_checks();
    while let Ok(path) = requested.recv().await {
        let outcome = driver
            .target
            .run(health_request(path), Instant::now() + RESPONSE_TIMEOUT)
            .await;
        let health = health(&driver.dialect, &outcome);
        slog::info!(driver.log(), "target: health checked"; "health" => ?health);
        if let Outcome::Answered(response) = &outcome {
            let statement = ResponseStatement::read(&driver.dialect, response);
            driver.handle(RequestEvent::Stated(statement));
        }
        driver.handle(RequestEvent::HealthChecked { health });
    }
}

fn health_request(path: String) -> HttpRequest {
    HttpRequest {
        method: "GET".into(),
        host: HOST.into(),
        path: path.into(),
        ..HttpRequest::default()
    }
}

/// Evaluates the outcome of a health check. A success without a valid remaining time
/// of the cold start means that the target is warm.
fn health(dialect: &Dialect, outcome: &Outcome) -> Health {
    let response = match outcome {
        Outcome::Answered(response) => response,
        Outcome::NeverSent => return Health::Unreachable,
        Outcome::Broken | Outcome::Silent | Outcome::Discarded => return Health::Bad,
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

/// Returns the phase that the target reports. A success without a phase means that
/// the target is warm. Returns `None` if the endpoint is missing or fails.
fn reported_phase(outcome: Outcome) -> Option<Phase> {
    let Outcome::Answered(response) = outcome else {
        return None;
    };
    parse_phase(&response).or_else(|| is_success(&response).then_some(Phase::Warm))
}

fn parse_phase(response: &HttpResponse) -> Option<Phase> {
    let body: HealthBody = serde_json::from_slice(&response.body).ok()?;
    Some(body.phase)
}

fn is_success(response: &HttpResponse) -> bool {
    (200..300).contains(&response.status)
}
