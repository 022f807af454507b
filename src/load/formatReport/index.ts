import { CrossCheck } from "../crossCheck/index.js";
import { GroupReport, ReplayReport } from "../summarizeReplay/index.js";

const GROUP_COLUMNS = [
    "sent",
    "answered",
    "refused",
    "failed",
    "left",
    "lost",
    "doubled",
    "in target",
    "first token p50",
    "p95",
    "p99",
    "token gap p50",
    "p95",
] as const;
const COLUMN_GAP = "  ";

/**
 * Formats a replay's report as text tables. Times are in milliseconds.
 *
 * @param report - Report from `summarizeReplay`.
 * @param check - Comparison with the emulator's record of what ran, if available.
 * @returns Lines of text with a final line break.
 */
export function formatReport(report: ReplayReport, check?: CrossCheck): string {
    const lines = [
        `${report.trace}: ${report.sent} requests and ${report.repeats} repeats in ${
            (report.durationMs / 1_000).toFixed(1)
        } s, `
        + `${report.goodputTokens.toFixed(0)} tokens/s and ${
            report.goodputRequests.toFixed(1)
        } requests/s within target`,
        "",
        ...formatTable("class", report.classes),
        "",
        ...formatTable("workspace", report.workspaces),
    ];
    const reasons = Object.entries(report.reasons).sort(([, a], [, b]) => b - a);
    if (reasons.length > 0) lines.push("", ...reasons.map(([reason, count]) => `${count} ${reason}`));
    if (check) lines.push("", ...formatCheck(check));
    if (report.missed.length > 0) lines.push("", ...report.missed.map(text => `MISSED ${text}`));
    return `${lines.join("\n")}\n`;
}

function formatCheck({ tokens, wastedTokens, untruthful, doubledCalls }: CrossCheck): string[] {
    return [
        `engines gave ${tokens} tokens, ${wastedTokens} of them to no answered request`,
        ...untruthful.map(name => `UNTRUTHFUL ${name}`),
        ...doubledCalls.map(name => `DOUBLED CALL ${name}`),
    ];
}

function formatTable(title: string, groups: readonly GroupReport[]): string[] {
    const rows = [[title, ...GROUP_COLUMNS], ...groups.map(formatGroup)];
    const widths = rows[0].map((_, column) => Math.max(...rows.map(row => row[column].length)));
    return rows.map(row =>
        row.map((cell, column) => column === 0 ? cell.padEnd(widths[column]) : cell.padStart(widths[column]))
            .join(COLUMN_GAP)
            .trimEnd()
    );
}

function formatGroup(group: GroupReport): string[] {
    const { verdicts, firstToken, tokenGap } = group;
    const counts = [
        group.sent,
        verdicts.answered,
        verdicts.refused,
        verdicts.failed,
        verdicts.left,
        verdicts.lost,
        verdicts.doubled,
    ];
    const times = [firstToken.p50, firstToken.p95, firstToken.p99, tokenGap.p50, tokenGap.p95];
    return [
        group.name,
        ...counts.map(String),
        `${(group.attainment * 100).toFixed(1)}%`,
        ...times.map(ms => ms.toFixed(1)),
    ];
}
