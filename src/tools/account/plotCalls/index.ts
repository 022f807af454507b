import { CallStatistics } from "../summarizeCalls/index.js";

const WIDTH = 900;
const PANEL_HEIGHT = 130;
const MARGIN = 50;
const MS_PER_SECOND = 1_000;
const BAR_SEGMENTS = [
    { name: "in time", colour: "#4a8f5c", count: (each: CallStatistics) => each.onTime },
    { name: "first byte late", colour: "#e0b040", count: (each: CallStatistics) => each.lateFirstBytes },
    { name: "pause too long", colour: "#d07030", count: (each: CallStatistics) => each.longPauses },
    { name: "unanswered", colour: "#b03030", count: countUnanswered },
] as const;

/**
 * Draws call statistics as SVG: a panel for each route with a bar for each window, stacked by result of the calls.
 *
 * @example
 * writeFile("hour.svg", plotCalls(summarizeCalls(calls, 2_000), 2_000));
 */
export function plotCalls(statistics: readonly CallStatistics[], windowMs: number): string {
    const routes = [...new Set(statistics.map(({ route }) => route))];
    const height = MARGIN + routes.length * PANEL_HEIGHT;
    const panels = routes.map((route, index) => drawPanel(route, statistics, windowMs, MARGIN + index * PANEL_HEIGHT));
    const legend = BAR_SEGMENTS.map(({ name, colour }, index) =>
        `<rect x="${MARGIN + 150 * index}" y="12" width="12" height="12" fill="${colour}"/>`
        + `<text x="${MARGIN + 150 * index + 18}" y="22">${name}</text>`
    );
    return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="11">\n`
        + `${[...legend, ...panels].join("\n")}\n</svg>\n`;
}

function drawPanel(route: string, statistics: readonly CallStatistics[], windowMs: number, top: number): string {
    const firstWindowMs = statistics[0].windowStartMs;
    const windowCount = (statistics[statistics.length - 1].windowStartMs - firstWindowMs) / windowMs + 1;
    const ownWindows = statistics.filter(each => each.route === route);
    const maxCalls = Math.max(...ownWindows.map(({ calls }) => calls));
    const barWidth = (WIDTH - 2 * MARGIN) / windowCount;
    const plotHeight = PANEL_HEIGHT - 30;
    const bottom = top + plotHeight;
    const bars = ownWindows.map(each =>
        drawBar(
            each,
            MARGIN + barWidth * (each.windowStartMs - firstWindowMs) / windowMs,
            bottom,
            barWidth,
            plotHeight / maxCalls,
        )
    );
    const endS = (windowCount * windowMs) / MS_PER_SECOND;
    return `<text x="${MARGIN}" y="${top - 4}">${escapeXml(route)}, at most ${maxCalls} calls a window</text>\n${
        bars.join("\n")
    }\n`
        + `<text x="${MARGIN}" y="${bottom + 14}">0 s</text><text x="${WIDTH - MARGIN - 30}" y="${
            bottom + 14
        }">${endS} s</text>`;
}

function drawBar(each: CallStatistics, left: number, bottom: number, width: number, scale: number): string {
    let y = bottom;
    return BAR_SEGMENTS.map(({ colour, count }) => {
        const height = scale * count(each);
        y -= height;
        const [x, top, w, h] = [left, y, 0.9 * width, height].map(value => value.toFixed(1));
        return `<rect x="${x}" y="${top}" width="${w}" height="${h}" fill="${colour}"/>`;
    }).join("");
}

function countUnanswered({ unanswered }: CallStatistics): number {
    return [...unanswered.values()].reduce((total, count) => total + count, 0);
}

function escapeXml(text: string): string {
    return text.replace(/[&<>"]/g, char => `&#${char.charCodeAt(0)};`);
}
