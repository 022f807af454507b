/** Tokens that one workspace requested and was served, with its weight. */
export interface WorkspaceService {
    readonly weight: number;
    readonly requestedTokens: number;
    readonly servedTokens: number;
}

/**
 * Divides the tokens served in total by weight, with no workspace getting more than it requested (weighted max-min
 * fairness).
 *
 * @returns The fair share of each workspace in tokens, in the order of `services`.
 */
export function fairShares(services: readonly WorkspaceService[]): readonly number[] {
    const shares = services.map(() => 0);
    let remainingTokens = services.reduce((sum, service) => sum + service.servedTokens, 0);
    let unsatisfied = services.map((_, index) => index).filter(index => services[index].requestedTokens > 0);
    while (unsatisfied.length > 0 && remainingTokens > 0) {
        const totalWeight = unsatisfied.reduce((sum, index) => sum + services[index].weight, 0);
        const tokensPerWeight = remainingTokens / totalWeight;
        const satisfied = unsatisfied.filter(index =>
            services[index].requestedTokens - shares[index] <= tokensPerWeight * services[index].weight
        );
        const recipients = satisfied.length > 0 ? satisfied : unsatisfied;
        for (const index of recipients) {
            const addedTokens = Math.min(
                services[index].requestedTokens - shares[index],
                tokensPerWeight * services[index].weight,
            );
            shares[index] += addedTokens;
            remainingTokens -= addedTokens;
        }
        if (satisfied.length === 0) break;
        unsatisfied = unsatisfied.filter(index => !satisfied.includes(index));
    }
    return shares;
}
