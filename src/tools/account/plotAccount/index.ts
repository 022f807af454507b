import { CallSum } from "../sumCalls/index.js";

const WIDTH = 900;
const PANEL_HEIGHT = 130;
const MARGIN = 50;
const MS_PER_SECOND = 1_000;
const BARS = [
    { name: "in time", colour: "#4a8f5c", count: (each: CallSum) => each.inTime },
    { name: "first byte late", colour: "#e0b040", count: (each: CallSum) => each.firstLate },
    { name: "pause too long", colour: "#d07030", count: (each: CallSum) => each.gapLate },
    { name: "unanswered", colour: "#b03030", count: countUnanswered },
] as const;

/**
 * Draws sums as SVG: a panel for each route, a bar for each window, parted by what became of the calls.
 *
 * @example
 * writeFile("hour.svg", plotAccount(sumCalls(calls, 2_000), 2_000));
 */
export function plotAccount(sums: readonly CallSum[], windowMs: number): string {
    const routes = [...new Set(sums.map(({ route }) => route))];
    const height = MARGIN + routes.length * PANEL_HEIGHT;
    const panels = routes.map((route, at) => drawPanel(route, sums, windowMs, MARGIN + at * PANEL_HEIGHT));
    const keys = BARS.map(({ name, colour }, at) =>
        `<rect x="${MARGIN + 150 * at}" y="12" width="12" height="12" fill="${colour}"/>`
        + `<text x="${MARGIN + 150 * at + 18}" y="22">${name}</text>`
    );
    return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="11">\n`
        + `${[...keys, ...panels].join("\n")}\n</svg>\n`;
}

function drawPanel(route: string, sums: readonly CallSum[], windowMs: number, top: number): string {
    const start = sums[0].from;
    const windows = (sums[sums.length - 1].from - start) / windowMs + 1;
    const own = sums.filter(each => each.route === route);
    const most = Math.max(...own.map(({ calls }) => calls));
    const width = (WIDTH - 2 * MARGIN) / windows;
    const plotHeight = PANEL_HEIGHT - 30;
    const bottom = top + plotHeight;
    const bars = own.map(each =>
        drawBar(each, MARGIN + width * (each.from - start) / windowMs, bottom, width, plotHeight / most)
    );
    const end = (windows * windowMs) / MS_PER_SECOND;
    return `<text x="${MARGIN}" y="${top - 4}">${escape(route)}, at most ${most} calls a window</text>\n${
        bars.join("\n")
    }\n`
        + `<text x="${MARGIN}" y="${bottom + 14}">0 s</text><text x="${WIDTH - MARGIN - 30}" y="${
            bottom + 14
        }">${end} s</text>`;
}

function drawBar(each: CallSum, left: number, bottom: number, width: number, scale: number): string {
    let y = bottom;
    return BARS.map(({ colour, count }) => {
        const height = scale * count(each);
        y -= height;
        const [x, top, w, h] = [left, y, 0.9 * width, height].map(value => value.toFixed(1));
        return `<rect x="${x}" y="${top}" width="${w}" height="${h}" fill="${colour}"/>`;
    }).join("");
}

function countUnanswered({ unanswered }: CallSum): number {
    return [...unanswered.values()].reduce((total, count) => total + count, 0);
}

function escape(text: string): string {
    return text.replace(/[&<>"]/g, char => `&#${char.charCodeAt(0)};`);
}
