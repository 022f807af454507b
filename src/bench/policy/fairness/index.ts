/** What one workspace asked for and got, in tokens. */
export interface WorkspaceService {
    readonly weight: number;
    readonly asked: number;
    readonly served: number;
}

/**
 * Shares out what was served by weight, giving nobody more than asked for (weighted max-min fairness).
 *
 * @returns The fair share of each, in tokens.
 */
export function fairShares(services: readonly WorkspaceService[]): readonly number[] {
    const shares = services.map(() => 0);
    let left = services.reduce((sum, service) => sum + service.served, 0);
    let open = services.map((_, index) => index).filter(index => services[index].asked > 0);
    while (open.length > 0 && left > 0) {
        const weight = open.reduce((sum, index) => sum + services[index].weight, 0);
        const level = left / weight;
        const full = open.filter(index => services[index].asked - shares[index] <= level * services[index].weight);
        const given = full.length > 0 ? full : open;
        for (const index of given) {
            const gain = Math.min(services[index].asked - shares[index], level * services[index].weight);
            shares[index] += gain;
            left -= gain;
        }
        if (full.length === 0) break;
        open = open.filter(index => !full.includes(index));
    }
    return shares;
}
