//! Bar chart of a comparison.

use crate::compare::Comparison;
use std::fmt::Write;

/// Sizes in pixels.
const BAR_WIDTH: f64 = 70.0;
const GAP: f64 = 60.0;
const HEIGHT: f64 = 240.0;
const MARGIN: f64 = 50.0;

impl Comparison {
    /// Bars of the value share by policy, each with a line from the lowest to the highest seed, as
    /// SVG.
    pub fn svg(&self) -> String {
        let step = BAR_WIDTH + GAP;
        let width = MARGIN * 2.0 + step * self.results.len() as f64;
        let height = HEIGHT + MARGIN * 2.0;
        let bottom = MARGIN + HEIGHT;
        let y_of = |value: f64| bottom - value * HEIGHT;
        let mut svg = String::new();
        let mut put = |line: String| {
            let _ = writeln!(svg, "{line}");
        };
        put(format!(
            r#"<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" font-family="sans-serif" font-size="12">"#
        ));
        put(format!(
            r#"<text x="{MARGIN}" y="{:.0}">value by policy: {}</text>"#,
            MARGIN / 2.0,
            escaped(&self.load)
        ));
        for tenths in [0, 2, 4, 6, 8, 10] {
            let value = f64::from(tenths) / 10.0;
            let y = y_of(value);
            let end = width - MARGIN / 2.0;
            put(format!(
                r##"<path d="M{MARGIN} {y:.1}H{end}" stroke="#ccc"/><text x="{:.0}" y="{:.1}" text-anchor="end">{value}</text>"##,
                MARGIN - 6.0,
                y + 4.0
            ));
        }
        for (index, result) in self.results.iter().enumerate() {
            let all = result.all();
            let value = all.mean.value_share();
            let x = MARGIN + GAP / 2.0 + step * index as f64;
            let middle = x + BAR_WIDTH / 2.0;
            let y = y_of(value);
            put(format!(
                r##"<rect x="{x}" y="{y:.1}" width="{BAR_WIDTH}" height="{:.1}" fill="#4a7ebb"/>"##,
                bottom - y
            ));
            put(format!(
                r#"<path d="M{middle} {:.1}V{:.1}" stroke="black"/>"#,
                y_of(all.value_range.0),
                y_of(all.value_range.1)
            ));
            put(format!(
                r#"<text x="{middle}" y="{:.1}" text-anchor="middle">{value:.3}</text>"#,
                y_of(all.value_range.1) - 6.0
            ));
            put(format!(
                r#"<text x="{middle}" y="{:.1}" text-anchor="middle">{}</text>"#,
                bottom + 18.0,
                escaped(result.policy)
            ));
        }
        put("</svg>".to_string());
        svg
    }
}

fn escaped(text: &str) -> String {
    let text = text.replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}
