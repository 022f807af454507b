const UNIT_STEP = 1_000;

/** Formats a number of bytes with a decimal unit. */
export function formatBytes(bytes: number): string {
    const units = ["B", "KB", "MB", "GB", "TB"];
    let value = bytes;
    let unit = 0;
    while (Math.abs(value) >= UNIT_STEP && unit < units.length - 1) {
        value /= UNIT_STEP;
        unit++;
    }
    return `${formatNumber(value)} ${units[unit]}`;
}

/** Formats processor time in milliseconds per second, followed by its share of a core. */
export function formatProcessor(msPerSecond: number): string {
    return `${formatNumber(msPerSecond)} ms/s (${formatNumber(msPerSecond / 10)} % of a core)`;
}

/** Formats a number with three significant digits, at most four decimals and no exponent. */
export function formatNumber(value: number): string {
    if (value === 0) return "0";
    const digits = Math.max(0, 2 - Math.floor(Math.log10(Math.abs(value))));
    return value.toLocaleString("en-US", { maximumFractionDigits: Math.min(digits, 4) });
}
