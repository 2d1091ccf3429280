"""Draws the measures as an SVG bar chart."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from xml.sax.saxutils import escape

MEASURES = ("buffer workers", "roll-out / bound", "moves", "share missed", "score")
BAR_PX = 14
LABEL_PX = 190
WIDTH_PX = 300
GAP_PX = 26


def plot(rows: Mapping[str, Mapping[str, Sequence[float]]], seed: int) -> str:
    """Return SVG with a group of bars per measure and a column per deployment."""
    parts: list[str] = []
    height = 0
    for column, (deployment, versions) in enumerate(rows.items()):
        left = column * (LABEL_PX + WIDTH_PX + 80)
        top = 30
        parts.append(_text(left, 16, f"{deployment}, seed {seed}", bold=True))
        for index, measure in enumerate(MEASURES):
            parts.append(_text(left, top + 10, f"{measure} (smaller is better)"))
            top += 16
            largest = max(values[index] for values in versions.values()) or 1.0
            for name, values in versions.items():
                length = WIDTH_PX * values[index] / largest
                parts.append(_text(left, top + 11, name))
                parts.append(
                    f'<rect x="{left + LABEL_PX}" y="{top}" width="{length:.1f}"'
                    f' height="{BAR_PX - 2}" fill="{_fill(name)}"/>'
                )
                end = left + LABEL_PX + length + 4
                parts.append(_text(end, top + 11, f"{values[index]:.3g}"))
                top += BAR_PX + 2
            top += GAP_PX
        height = max(height, top)
    width = len(rows) * (LABEL_PX + WIDTH_PX + 80)
    body = "\n".join(parts)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}"'
        f' font-family="sans-serif" font-size="12">\n{body}\n</svg>\n'
    )


def _text(x: float, y: float, content: str, bold: bool = False) -> str:
    weight = ' font-weight="bold"' if bold else ""
    return f'<text x="{x:.1f}" y="{y:.1f}"{weight}>{escape(content)}</text>'


def _fill(name: str) -> str:
    return "#1f6f8b" if name == "this version" else "#b0b7bf"
