//! Least squares.

/// One quantity measured at several sizes.
pub struct Series {
    /// What was measured, and per what.
    pub what: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Sizes and values.
    pub points: Vec<(f64, f64)>,
    /// The size of the deployment this is for.
    pub target: f64,
}

/// A line through the points.
struct Line {
    slope: f64,
    base: f64,
    /// Root of the mean square of the distances, as part of the largest value.
    residual: f64,
}

impl Series {
    fn line(&self) -> Line {
        let n = self.points.len() as f64;
        assert!(n >= 4.0, "a slope needs four sizes");
        let mean = |f: fn(&(f64, f64)) -> f64| self.points.iter().map(f).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let xy: f64 = self.points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let xx: f64 = self.points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let slope = xy / xx;
        let base = y - slope * x;
        let square: f64 = self.points.iter().map(|p| (p.1 - base - slope * p.0).powi(2)).sum();
        let top = self.points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
        Line { slope, base, residual: (square / n).sqrt() / top }
    }

    /// The series as a row of a Markdown table.
    pub fn row(&self) -> String {
        let Line { slope, base, residual } = self.line();
        let list = |f: fn(&(f64, f64)) -> f64| {
            self.points.iter().map(|p| short(f(p))).collect::<Vec<_>>().join(", ")
        };
        let most = self.points.iter().map(|p| p.0).fold(0.0, f64::max);
        let kind = if self.target > most { "extrapolated" } else { "within" };
        format!(
            "| {} | {} | {} | {} | {} | {} | {:.1}% | {} | {} ({kind}) |",
            self.what,
            self.unit,
            list(|p| p.0),
            list(|p| p.1),
            short(slope),
            short(base),
            residual * 100.0,
            short(self.target),
            short(base + slope * self.target),
        )
    }
}

/// Three significant digits, whole numbers from 100 on.
fn short(n: f64) -> String {
    match n.abs() {
        0.0 => "0".to_owned(),
        a if a >= 100.0 => format!("{n:.0}"),
        a if a >= 10.0 => format!("{n:.1}"),
        a if a >= 1.0 => format!("{n:.2}"),
        _ => format!("{n:.3}"),
    }
}
